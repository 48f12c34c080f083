#include <LibTelemetry/Log.h>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

#include <atomic>
#include <deque>
#include <memory>

namespace wigeonlift {

namespace {

constexpr const char *LoggerName = "wigeonlift";

std::atomic<bool> &isStarted() {
  static std::atomic<bool> started{false};
  return started;
}

log4cxx::LevelPtr toLevel(LogLevel level) {
  switch (level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

} // namespace

void startLog(std::string_view level) {
  // `log` passes the fields in the MDC (mapped diagnostic context). Location info was turned on so
  // that JSONLayout writes the MDC. log4cxx 1.0.0 writes it in either case, but turning location
  // info off would remove `location_info` from every line.
  auto layout = std::make_shared<log4cxx::JSONLayout>();
  layout->setLocationInfo(true);
  layout->setPrettyPrint(false);
  auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(std::string{level}));
  isStarted() = true;
}

void log(LogLevel level, std::string_view message, std::initializer_list<LogField> fields) {
  if (!isStarted())
    return;
  const auto logger = log4cxx::Logger::getLogger(LoggerName);
  const auto log4cxxLevel = toLevel(level);
  if (!logger->isEnabledFor(log4cxxLevel))
    return;
  std::deque<log4cxx::MDC> mdcFields;
  for (const auto &[name, value, isText] : fields)
    mdcFields.emplace_back(std::string{name}, value);
  logger->forcedLog(log4cxxLevel, std::string{message});
}

} // namespace wigeonlift
