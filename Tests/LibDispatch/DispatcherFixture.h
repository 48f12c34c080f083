#pragma once

#include <LibDispatch/LibDispatch.h>

#include <gtest/gtest.h>

#include <memory>
#include <string>

namespace wigeonlift::test {

using namespace std::chrono_literals;

inline constexpr LoadReport IdleReport{0, 0, 3, UpstreamState::Ready};
inline constexpr LoadReport DrainingReport{0, 0, 3, UpstreamState::Draining};

/// A catalogue with one service and one entry of each call class, for the given number of VMs.
inline std::shared_ptr<Catalogue> makeCatalogue(int vms = 1) {
  auto catalogue = std::make_shared<Catalogue>();
  catalogue->Fleet = {vms, 2500ms};
  catalogue->Services = {{"rankview", 3, 220 * vms, 1, 8, 5, {28, 2, 10s}}};
  const EntryLimits limits{1000.0 * vms, 100 * vms, 100 * vms, 2s};
  catalogue->Entries = {
      {"lookup", "dojo", 0, "/l", CallClass::Idempotent, limits},
      {"promote", "dojo", 0, "/p", CallClass::NonIdempotent, limits},
      {"archive", "dojo", 0, "/a", CallClass::Export, limits},
  };
  return catalogue;
}

inline std::vector<UpstreamSpec> makeUpstreams(int count) {
  std::vector<UpstreamSpec> upstreams;
  for (int n = 0; n < count; ++n)
    upstreams.push_back({"up" + std::to_string(n), "10.0.0." + std::to_string(n) + ":80", "a"});
  return upstreams;
}

/// A dispatcher for a service with idle upstreams. Evidence from peers permits it to send new work
/// to all of them.
template <typename D = DefaultDispatcher> class DispatcherFixture {
public:
  explicit DispatcherFixture(int upstreams, std::shared_ptr<Catalogue> catalogue = makeCatalogue())
      : Dispatcher(1, TimePoint{}) {
    Dispatcher.setCatalogue(std::move(catalogue), 0, Now, Out);
    Dispatcher.setUpstreams(makeUpstreams(upstreams), Now, Out);
    permitAll();
  }

  void permitAll() {
    for (std::uint32_t n = 0; n < Dispatcher.state(Now).Upstreams.size(); ++n)
      Dispatcher.peerEvidence({UpstreamIndex{n}, Now, IdleReport}, Now, Out);
  }

  CallId arrive(CallClass callClass, Duration deadline = 2s, int extraAttempts = 4) {
    const CallId id{++LastCall};
    Dispatcher.callArrived(
        {id, callClass, static_cast<std::uint32_t>(callClass), Now + deadline, extraAttempts}, Now,
        Out);
    return id;
  }

  /// Removes and returns the oldest command of a type. Fails the test when there is none.
  template <typename T> T take() {
    for (auto it = Out.begin(); it != Out.end(); ++it) {
      if (T *found = std::get_if<T>(&*it)) {
        T value = *found;
        Out.erase(it);
        return value;
      }
    }
    ADD_FAILURE() << "no command of the expected type";
    return T{};
  }

  template <typename T> int count() const {
    int n = 0;
    for (const Command &it : Out)
      n += std::holds_alternative<T>(it) ? 1 : 0;
    return n;
  }

  /// Lets a call arrive, takes its first attempt and permits the write.
  StartAttempt send(CallClass callClass, int extraAttempts = 4) {
    arrive(callClass, 2s, extraAttempts);
    const auto start = take<StartAttempt>();
    EXPECT_TRUE(Dispatcher.mayWrite(start.Attempt, Now, Out));
    return start;
  }

  void answer(AttemptId id, ResponseHead head) { Dispatcher.responseStarted(id, head, Now, Out); }
  void passTime(Duration time) {
    Now += time;
    Dispatcher.tick(Now, Out);
  }

  D Dispatcher;
  Commands Out;
  TimePoint Now = TimePoint{} + 1s;

private:
  std::uint64_t LastCall = 0;
};

} // namespace wigeonlift::test
