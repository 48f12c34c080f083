#include <LibHttp/Endpoint.h>
#include <StandIns/Common/RunProgram.h>
#include <StandIns/Platform/PlatformServer.h>

#include <gflags/gflags.h>

#include <fmt/format.h>

#include <csignal>

DEFINE_string(address, "127.0.0.1:24000", "IP:PORT to serve on");
DEFINE_string(catalogue, "", "file with the value of the catalogue; read again when it changes");
DEFINE_string(parts, "", "folder with a file KEY.yaml for each part of the catalogue");
DEFINE_string(vms, "", "JSON file with the VM list; read again when it changes");
DEFINE_int32(list_lag_ms, 0, "how long the VM list lags behind its file");

int main(int argc, char **argv) {
  using namespace wigeonlift;
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("Serves the configuration service and the VM list of a platform.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto endpoint = parseEndpoint(FLAGS_address);
  if (!endpoint)
    return usageError(argv[0], "--address must be IP:PORT");
  boost::asio::io_context context{1};
  PlatformServer server{
      context,
      {FLAGS_catalogue, FLAGS_vms, FLAGS_parts, std::chrono::milliseconds{FLAGS_list_lag_ms}}};
  if (const absl::Status status = server.start(*endpoint); !status.ok())
    return usageError(argv[0], status.ToString());
  fmt::print("serving on port {}\n", server.port());
  std::fflush(stdout);
  runUntilSignal(context, [&] { server.stop(); });
  return 0;
}
