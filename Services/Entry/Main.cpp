#include <Services/Entry/ControlTask.h>
#include <Services/Entry/DataTask.h>

#include <LibSettings/LibSettings.h>
#include <LibTelemetry/LibTelemetry.h>
#include <LibYaml/DocumentError.h>

#include <gflags/gflags.h>
#include <sodium.h>

#include <csignal>
#include <future>
#include <iostream>

DEFINE_string(settings, "", "file with the settings");
DEFINE_bool(check_settings, false, "judge the settings and exit");

namespace wigeonlift {

namespace {

constexpr int UsageExitCode = 2;

BootId newBootId() {
  BootId boot;
  randombytes_buf(boot.Bytes.data(), boot.Bytes.size());
  return boot;
}

/// Blocks the signals in all threads, so that `sigwait` gets them.
sigset_t blockSignals() {
  std::signal(SIGHUP, SIG_IGN);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void waitForSignal(const sigset_t &signals) {
  int received = 0;
  sigwait(&signals, &received);
}

void stop(DataTask &data) {
  std::promise<void> stopped;
  data.stopGracefully([&] { stopped.set_value(); });
  stopped.get_future().wait();
}

int fail(const absl::Status &status) {
  std::cerr << "wigeonlift-entry: " << status.message() << '\n';
  return EXIT_FAILURE;
}

int serve(const EntrySettings &settings) {
  const sigset_t signals = blockSignals();
  startLog(settings.LogLevel);
  const BootId boot = newBootId();
  std::unique_ptr<ControlTask> control;
  DataTask data{settings, boot,
                [&](ControlTaskMessage message) { control->send(std::move(message)); }};
  control = std::make_unique<ControlTask>(
      settings, boot, [&](DataTaskMessage message) { data.send(std::move(message)); });
  data.setControlDump([&](auto done) { control->dump(std::move(done)); });
  if (const absl::Status status = data.start(); !status.ok())
    return fail(status);
  if (const absl::Status status = control->start(); !status.ok())
    return fail(status);
  log(LogLevel::Info, "serving", {{"name", settings.Name}, {"callers", settings.CallersAddress}});
  waitForSignal(signals);
  log(LogLevel::Info, "stopping", {{"name", settings.Name}});
  stop(data);
  control->stop();
  return EXIT_SUCCESS;
}

int run() {
  const ParsedEntrySettings settings = loadEntrySettings(FLAGS_settings);
  for (const DocumentError &it : settings.Errors)
    std::cerr << describe(it, FLAGS_settings) << '\n';
  if (!settings.Value)
    return EXIT_FAILURE;
  return FLAGS_check_settings ? EXIT_SUCCESS : serve(*settings.Value);
}

} // namespace

} // namespace wigeonlift

int main(int argc, char **argv) {
  gflags::SetVersionString(WIGEONLIFT_VERSION);
  gflags::SetUsageMessage("wigeonlift-entry --settings FILE [--check_settings]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_settings.empty()) {
    std::cerr << "wigeonlift-entry: --settings FILE is missing\n";
    return wigeonlift::UsageExitCode;
  }
  return wigeonlift::run();
}
