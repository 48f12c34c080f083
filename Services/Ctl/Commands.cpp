#include <Services/Ctl/Commands.h>

#include <LibBudget/LibBudget.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibHttp/LibHttp.h>
#include <LibSettings/LibSettings.h>
#include <Services/Ctl/CatalogueFiles.h>
#include <Services/Ctl/Explain.h>

#include <fmt/ostream.h>

#include <filesystem>
#include <ostream>

namespace wigeonlift {

namespace {

constexpr auto AnswerTimeout = std::chrono::seconds{3};

/// Prints the body of `GET target`.
ExitCode show(std::string_view address, std::string_view target, CommandStreams streams) {
  const auto endpoint = parseEndpoint(address);
  if (!endpoint) {
    fmt::print(streams.Err, "{}: the address must be IP:PORT\n", address);
    return ExitCode::Usage;
  }
  HttpRequest request{boost::beast::http::verb::get, {target.data(), target.size()}, 11};
  const auto response = fetchBlocking(*endpoint, std::move(request), AnswerTimeout);
  if (!response.ok()) {
    fmt::print(streams.Err, "{}: {}\n", address, response.status().ToString());
    return ExitCode::Unreachable;
  }
  if (response->result() != boost::beast::http::status::ok) {
    fmt::print(streams.Err, "{}: status {}: {}\n", address, response->result_int(),
               response->body());
    return ExitCode::Invalid;
  }
  fmt::print(streams.Out, "{}\n", response->body());
  return ExitCode::Ok;
}

/// A VM that may send no probe never learns that an idle upstream takes work.
void warnOfUnusableBudgets(const std::string &file, const Catalogue &catalogue, std::ostream &out) {
  const int vms = catalogue.Fleet.MaxEntryVms;
  for (const ServiceSpec &it : catalogue.Services) {
    const ProbeBudgetSpec &budget = it.ProbeBudget;
    if (ProbeShare::probesPerWindow(budget.ProbesPerSecond, budget.Window, vms) == 0 ||
        ProbeShare::probesPerWindow(budget.ProbesPerSecondPerUpstream, budget.Window, vms) == 0)
      fmt::print(out,
                 "{}: warning: service {}: probes a second times the window is below "
                 "max_entry_vms, so no VM may send a probe\n",
                 file, it.Name);
  }
}

} // namespace

ExitCode checkCatalogue(const std::string &file, CommandStreams streams) {
  const std::shared_ptr<const Catalogue> catalogue = CatalogueFiles{file}.check(streams.Err);
  if (!catalogue)
    return ExitCode::Invalid;
  warnOfUnusableBudgets(file, *catalogue, streams.Err);
  fmt::print(streams.Out, "{}: valid, version {}\n", file, catalogue->Version.toText());
  return ExitCode::Ok;
}

ExitCode printDigests(std::span<const std::string_view> files, CommandStreams streams) {
  ExitCode result = ExitCode::Ok;
  for (const std::string_view it : files) {
    const std::string key = std::filesystem::path{it}.stem().string();
    const auto text = readFile(std::string{it});
    if (text && isPartKey(key)) {
      fmt::print(streams.Out, "  - {{key: {}, digest: {}}}\n", key,
                 ContentDigest::of(*text).toText());
      continue;
    }
    const DocumentRule rule = text ? DocumentRule::IsPartKey : DocumentRule::Readable;
    fmt::print(streams.Err, "{}\n", describe({0, "file name", rule}, it));
    result = ExitCode::Invalid;
  }
  return result;
}

ExitCode showState(std::string_view operatorAddress, CommandStreams streams) {
  return show(operatorAddress, "/state", streams);
}

ExitCode showEntries(std::string_view callersAddress, CommandStreams streams) {
  return show(callersAddress, "/wigeonlift/entries", streams);
}

ExitCode runCommand(std::span<const std::string_view> words, CommandStreams streams) {
  if (words.size() == 2 && words[0] == "check")
    return checkCatalogue(std::string{words[1]}, streams);
  if (words.size() >= 2 && words[0] == "digest")
    return printDigests(words.subspan(1), streams);
  if (words.size() == 2 && words[0] == "state")
    return showState(words[1], streams);
  if (words.size() == 2 && words[0] == "which")
    return showEntries(words[1], streams);
  if (words.size() >= 3 && words[0] == "explain")
    return explainRequest(words[1], words.subspan(2), streams);
  fmt::print(streams.Err, "usage: wigeonlift-ctl check FILE | digest FILE... | state ADDRESS | "
                          "which ADDRESS | explain ID FILE...\n");
  return ExitCode::Usage;
}

} // namespace wigeonlift
