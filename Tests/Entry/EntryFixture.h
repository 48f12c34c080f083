#pragma once

#include <Services/Entry/DataPath.h>
#include <Tests/Support/FakeUpstream.h>
#include <Tests/Support/RawCaller.h>

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace wigeonlift {

/// A catalogue with the service `rankview` and one entry of each class, owned by `dojo`.
std::shared_ptr<const Catalogue> testCatalogue();

/// One data path with its messages from the control task written by the test.
struct TestEntryVm {
  TestEntryVm(boost::asio::io_context &context, std::uint8_t id,
              const std::string &historyFile = "");

  /// Puts the catalogue and the upstreams into effect, with the evidence that they take work.
  void synchronize(const std::vector<const FakeUpstream *> &upstreams);
  EntryVm self() const;

  BootId Boot;
  std::vector<ControlTaskMessage> ToControl;
  DataPath Path;
};

/// Runs everything on one thread, so that nothing depends on timing.
class EntryFixture : public testing::Test {
protected:
  /// Runs the context until the condition holds.
  void runUntil(const std::function<bool()> &condition);
  /// Sends a request on a connection of its own and waits for the whole answer.
  std::shared_ptr<RawCaller> ask(TestEntryVm &vm, const std::string &request);
  /// Runs idempotent calls until the dispatcher may repeat some.
  void fillRetryBudget(TestEntryVm &vm);
  std::shared_ptr<RawCaller> connect(TestEntryVm &vm);

  boost::asio::io_context Context{1};
};

/// Text of a request of the owner `dojo`.
std::string requestText(const std::string &method, const std::string &target,
                        const std::string &fields = "", const std::string &body = "");

/// A whole response with a load report.
std::string okResponse(const std::string &body, const std::string &fields = "");

} // namespace wigeonlift
