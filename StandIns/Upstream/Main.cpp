#include <LibBase/Text.h>
#include <LibHistory/LibHistory.h>
#include <StandIns/Common/RunProgram.h>
#include <StandIns/Upstream/UpstreamAdmin.h>
#include <StandIns/Upstream/UpstreamServer.h>

#include <gflags/gflags.h>

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>

#include <cstdio>
#include <memory>
#include <vector>

DEFINE_string(host, "127.0.0.1", "IP address to serve on");
DEFINE_int32(first_port, 24100, "port of the first upstream; the others follow");
DEFINE_int32(first_admin_port, 24500, "admin port of the first upstream; the others follow");
DEFINE_int32(count, 1, "upstreams to host");
DEFINE_string(name, "upstream", "upstreams are called NAME-1, NAME-2 and so on");
DEFINE_int32(slots, 3, "calls that one upstream runs at a time");
DEFINE_int32(queue_limit, 200, "calls that may wait before an upstream sheds");
DEFINE_double(mean_ms, 10, "mean service time");
DEFINE_double(sigma, 0.8, "sigma of the log-normal service time");
DEFINE_uint64(seed, 1, "seed of the service times");
DEFINE_uint64(answer_bytes, 512, "size of an answer to a call without ?bytes=N");
DEFINE_uint64(bytes_per_second, 0, "rate of one large answer; 0 is as fast as the connection");
DEFINE_int32(health_lag_ms, 5000, "how old the load is that GET /health shows");
DEFINE_int32(warm_up_ms, 3000, "how long a cold upstream is slower");
DEFINE_bool(start_cold, false, "the first start is cold too");
DEFINE_string(request_id_headers, "X-Request-Id,Untuva-Pyynto,X-Hoyhen-Trace,Patja-Correlation",
              "headers that may hold the request id");
DEFINE_string(history_file, "", "file to append history events to");

namespace {

using namespace wigeonlift;

UpstreamOptions optionsOf(int n) {
  UpstreamOptions options;
  options.Name = fmt::format("{}-{}", FLAGS_name, n + 1);
  options.Slots = FLAGS_slots;
  options.QueueLimit = FLAGS_queue_limit;
  options.MeanMs = FLAGS_mean_ms;
  options.Sigma = FLAGS_sigma;
  options.Seed = FLAGS_seed + static_cast<std::uint64_t>(n);
  options.AnswerBytes = FLAGS_answer_bytes;
  options.AnswerBytesPerSecond = FLAGS_bytes_per_second;
  options.HealthLag = std::chrono::milliseconds{FLAGS_health_lag_ms};
  options.WarmUp = std::chrono::milliseconds{FLAGS_warm_up_ms};
  options.StartsCold = FLAGS_start_cold;
  for (const std::string_view it : split(FLAGS_request_id_headers, ','))
    options.RequestIdHeaders.emplace_back(it);
  return options;
}

struct HostedUpstream {
  HostedUpstream(boost::asio::io_context &context, const UpstreamOptions &options,
                 HistoryWriter &history)
      : Server(context, options, history), Admin(context, Server) {}

  absl::Status start(const boost::asio::ip::address &host, int n) {
    absl::Status status = Server.start({host, static_cast<std::uint16_t>(FLAGS_first_port + n)});
    if (!status.ok())
      return status;
    return Admin.start({host, static_cast<std::uint16_t>(FLAGS_first_admin_port + n)});
  }

  UpstreamServer Server;
  UpstreamAdmin Admin;
};

} // namespace

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("Hosts upstreams for tests and the demo.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  boost::system::error_code ec;
  const auto host = boost::asio::ip::make_address(FLAGS_host, ec);
  if (ec || FLAGS_count < 1)
    return usageError(argv[0], "--host must be an IP address and --count positive");
  HistoryWriter history;
  if (!FLAGS_history_file.empty())
    if (const absl::Status status = history.open(FLAGS_history_file, FLAGS_name); !status.ok())
      return usageError(argv[0], status.ToString());
  boost::asio::io_context context{1};
  std::vector<std::unique_ptr<HostedUpstream>> upstreams;
  for (int n = 0; n < FLAGS_count; ++n) {
    upstreams.push_back(std::make_unique<HostedUpstream>(context, optionsOf(n), history));
    if (const absl::Status status = upstreams.back()->start(host, n); !status.ok())
      return usageError(argv[0], status.ToString());
  }
  fmt::print("serving on ports {} to {}\n", FLAGS_first_port, FLAGS_first_port + FLAGS_count - 1);
  std::fflush(stdout);
  runUntilSignal(context, [] {});
  return 0;
}
