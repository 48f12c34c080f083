#include <Services/Gateway/Daemon.h>

#include <platform/Platform.h>

#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>

#include <unistd.h>

DEFINE_string(node_file, "",
              "settings file of the platform; by default the one that the "
              "environment names");
DEFINE_bool(check_settings, false, "judge the settings and exit");

namespace wigeonlift {

namespace {

int run() {
  std::string file = FLAGS_node_file;
  if (const char *path = std::getenv(platform::NodeFileVariable); file.empty() && path)
    file = path;
  const auto settings = platform::loadNodeFile(file);
  if (!settings.ok()) {
    std::cerr << "wigeonlift-gateway: " << settings.status().message() << '\n';
    return EXIT_FAILURE;
  }
  if (FLAGS_check_settings)
    return EXIT_SUCCESS;
  std::signal(SIGPIPE, SIG_IGN);
  EventLog log{STDOUT_FILENO, settings->Name};
  std::random_device entropy;
  Daemon daemon{*settings, file, log, (std::uint64_t{entropy()} << 32) | entropy()};
  if (const absl::Status status = daemon.start(); !status.ok()) {
    std::cerr << "wigeonlift-gateway: " << status.message() << '\n';
    return EXIT_FAILURE;
  }
  daemon.run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace wigeonlift

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("wigeonlift-gateway [--node_file FILE] [--check_settings]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return wigeonlift::run();
}
