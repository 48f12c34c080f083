#include <LibBase/Text.h>
#include <LibCatalogue/LibCatalogue.h>
#include <LibSettings/LibSettings.h>
#include <StandIns/Common/RunProgram.h>
#include <StandIns/Load/LoadRun.h>
#include <StandIns/Load/ProbeCount.h>
#include <StandIns/Load/Summary.h>

#include <gflags/gflags.h>

#include <fmt/format.h>

#include <thread>

DEFINE_string(catalogue, "", "catalogue file: entries, paths, classes and dialects");
DEFINE_string(entries, "", "comma-separated IP:PORT of entry VMs that callers know beforehand");
DEFINE_string(direct, "", "comma-separated IP:PORT of upstreams; every second call goes there");
DEFINE_string(rates, "", "calls a second by entry: NAME=RATE,...");
DEFINE_uint64(seed, 1, "seed of arrivals and choices");
DEFINE_int32(callers, 20, "callers, each with its own remembered addresses and connections");
DEFINE_double(seconds, 10, "time in which calls begin");
DEFINE_double(warm_up_seconds, 0, "first part of that time, whose latencies don't count");
DEFINE_int32(deadline_ms, 0, "deadline that callers state; 0 states none");
DEFINE_int32(answer_timeout_ms, 10'000, "how long a caller waits for one answer");
DEFINE_int32(give_up_ms, 20'000, "how long a caller goes on repeating one call");
DEFINE_uint64(answer_bytes, 512, "size of small answers, as the upstreams are told");
DEFINE_uint64(export_bytes, 1024 * 1024, "size of an export");
DEFINE_string(upstream_histories, "", "comma-separated history files of upstreams to audit");
DEFINE_string(upstream_admins, "", "comma-separated IP:PORT of upstreams' admin ports");
DEFINE_string(history_file, "", "file to append history events to");
DEFINE_string(name, "caller", "name of this process in the history");
DEFINE_bool(json, false, "print one JSON object in place of a table");

namespace {

using namespace wigeonlift;

constexpr int FoundFaultExitCode = 1;
/// Work of abandoned calls may still end after the last answer.
constexpr auto SettleTime = std::chrono::milliseconds{300};

std::vector<std::string> listOf(const std::string &text) {
  std::vector<std::string> items;
  for (const std::string_view it : split(text, ','))
    if (!it.empty())
      items.emplace_back(it);
  return items;
}

LoadOptions optionsOfFlags() {
  LoadOptions options;
  options.Entries = listOf(FLAGS_entries);
  options.DirectUpstreams = listOf(FLAGS_direct);
  for (const std::string &it : listOf(FLAGS_rates)) {
    const std::size_t n = std::min(it.find('='), it.size() - 1);
    options.Rates.emplace_back(it.substr(0, n),
                               parseNumber<double>(std::string_view{it}.substr(n + 1)).value_or(0));
  }
  options.Seed = FLAGS_seed;
  options.Callers = FLAGS_callers;
  options.Length = fromSeconds(FLAGS_seconds);
  options.WarmUp = fromSeconds(FLAGS_warm_up_seconds);
  options.Deadline = std::chrono::milliseconds{FLAGS_deadline_ms};
  options.AnswerTimeout = std::chrono::milliseconds{FLAGS_answer_timeout_ms};
  options.GiveUpAfter = std::chrono::milliseconds{FLAGS_give_up_ms};
  options.AnswerBytes = FLAGS_answer_bytes;
  options.ExportBytes = FLAGS_export_bytes;
  return options;
}

absl::Status audit(const std::vector<CallOutcome> &outcomes, Summary &summary) {
  EffectAudit audit;
  for (const std::string &it : listOf(FLAGS_upstream_histories))
    if (absl::Status status = audit.readHistory(it); !status.ok())
      return status;
  for (const CallOutcome &it : outcomes)
    audit.check(it);
  if (audit.hasHistory())
    summary.setAudit(audit);
  return absl::OkStatus();
}

absl::Status openHistory(HistoryWriter &history) {
  if (FLAGS_history_file.empty())
    return absl::OkStatus();
  absl::Status status = history.open(FLAGS_history_file, FLAGS_name);
  history.write(StartEvent{FLAGS_name, ProcessRole::Caller, ""});
  return status;
}

absl::StatusOr<Summary> runLoad(const LoadOptions &options,
                                const std::shared_ptr<const Catalogue> &catalogue) {
  auto mix = CallMix::of(*catalogue, options.Rates, options.Seed);
  if (!mix.ok())
    return mix.status();
  HistoryWriter history;
  if (const absl::Status status = openHistory(history); !status.ok())
    return status;
  const std::vector<std::string> admins = listOf(FLAGS_upstream_admins);
  const std::uint64_t probesBefore = countProbes(admins);
  const TimePoint start = std::chrono::steady_clock::now();
  const auto outcomes = LoadRun{options, catalogue, std::move(*mix), history}.run();
  const Duration span = std::chrono::steady_clock::now() - start;
  Summary summary;
  summary.setSeed(options.Seed);
  for (const CallOutcome &it : outcomes)
    summary.add(it);
  if (!admins.empty())
    summary.setProbes(countProbes(admins) - probesBefore, span);
  std::this_thread::sleep_for(SettleTime);
  if (const absl::Status status = audit(outcomes, summary); !status.ok())
    return status;
  return summary;
}

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("Makes calls of all classes and checks each answer.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const LoadOptions options = optionsOfFlags();
  const auto document = readFile(FLAGS_catalogue);
  const auto catalogue = document ? parseCatalogue(*document).Value : nullptr;
  if (!catalogue || catalogue->Dialects.empty())
    return usageError(argv[0], "--catalogue must name a valid catalogue with a dialect");
  if ((options.Entries.empty() && options.DirectUpstreams.empty()) || options.Callers < 1)
    return usageError(argv[0], "--entries or --direct is missing, or --callers is not positive");
  const auto summary = runLoad(options, catalogue);
  if (!summary.ok())
    return usageError(argv[0], summary.status().ToString());
  fmt::print("{}\n", FLAGS_json ? summary->json() : summary->table());
  return summary->isClean() ? 0 : FoundFaultExitCode;
}
