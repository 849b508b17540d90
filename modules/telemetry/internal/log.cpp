// Log lines on log4cxx.

#include "fulmar/telemetry/log.h"

#include "internal/linebudget.h"
#include "internal/logline.h"
#include "internal/standardoutput.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <exception>
#include <iostream>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace fulmar::telemetry {

namespace {

constexpr const char *LoggerName = "fulmar";
/// Value of log_options::File.
constexpr const char *StandardOutput = "stdout";
constexpr const char *LinePattern =
    "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %m%n";

/// Set once by startLog() before any other use.
std::string &instanceName() {
  static std::string Name;
  return Name;
}

std::atomic<bool> Started{false};

/// Lines of one kind in a second; some ten entries' requests on a usual day.
constexpr std::uint32_t MaxLinesPerSecond = 100;

std::optional<std::uint64_t> admit(std::string_view Component,
                                   std::string_view Event) {
  static std::mutex Mutex;
  static line_budget Budget(MaxLinesPerSecond);
  const std::lock_guard<std::mutex> Lock(Mutex);
  return Budget.admit(std::string(Component) + "/" + std::string(Event),
                      base::steady_clock().now());
}

log4cxx::LevelPtr levelOf(log_level Level) {
  switch (Level) {
  case log_level::Debug:
    return log4cxx::Level::getDebug();
  case log_level::Info:
    return log4cxx::Level::getInfo();
  case log_level::Warning:
    return log4cxx::Level::getWarn();
  case log_level::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

log4cxx::LevelPtr levelOf(const std::string &Name) {
  if (Name == "debug")
    return levelOf(log_level::Debug);
  if (Name == "warning")
    return levelOf(log_level::Warning);
  if (Name == "error")
    return levelOf(log_level::Error);
  return levelOf(log_level::Info);
}

log4cxx::AppenderPtr makeAppender(const std::string &File) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(LinePattern);
  if (File == StandardOutput)
    return std::make_shared<standard_output>(Layout);
  if (File.empty())
    return std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemErr());
  return std::make_shared<log4cxx::FileAppender>(Layout, File, true);
}

} // namespace

void startLog(const log_options &Options) {
  try {
    instanceName() = Options.Instance;
    const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger(LoggerName);
    Logger->setAdditivity(false);
    Logger->removeAllAppenders();
    Logger->addAppender(makeAppender(Options.File));
    Logger->setLevel(levelOf(Options.Level));
    Started.store(true, std::memory_order_release);
  } catch (const std::exception &Failure) {
    std::cerr << "event=log-unavailable reason=" << logValue(Failure.what())
              << '\n';
  }
}

void logChange(log_level Level, std::string_view Component,
               std::string_view Event,
               std::initializer_list<log_field> Fields) {
  if (!Started.load(std::memory_order_acquire))
    return;
  try {
    const log4cxx::LoggerPtr Logger = log4cxx::Logger::getLogger(LoggerName);
    const log4cxx::LevelPtr LibraryLevel = levelOf(Level);
    if (!Logger->isEnabledFor(LibraryLevel))
      return;
    const auto LeftOut = admit(Component, Event);
    if (!LeftOut)
      return;
    std::vector<log_field> All(Fields);
    if (*LeftOut > 0)
      All.emplace_back("left_out_before", std::to_string(*LeftOut));
    Logger->forcedLog(LibraryLevel,
                      logLine(Level, instanceName(), Component, Event, All));
  } catch (const std::exception &Failure) {
    std::cerr << "event=log-failed reason=" << logValue(Failure.what()) << '\n';
  }
}

} // namespace fulmar::telemetry
