#include "bounded_lines.h"

#include <bilberrytrail/base/log.h>

#include <unistd.h>

#include <atomic>
#include <fstream>
#include <mutex>
#include <ostream>

namespace bilberrytrail {

namespace {

// Buffer for a slow reader of standard output: holds the lines that a busy
// daemon logs in a few seconds.
constexpr std::size_t kMaxPendingBytes = 256 * 1024;

// Returns a non-blocking stream to standard output. It needs no lock: the
// logging library locks around each line.
std::ostream&
LogStream()
{
  static BoundedLines sLines(
    kMaxPendingBytes,
    [](const char* aText, std::size_t aCount) {
      return WriteNonBlocking(STDOUT_FILENO, aText, aCount);
    },
    [](std::size_t aCount) {
      return RenderLogLine(LogEvent::LogLinesDropped, { { "lines", aCount } }) +
             "\n";
    });
  static std::ostream sStream(&sLines);
  return sStream;
}

} // namespace

} // namespace bilberrytrail

#define ELPP_THREAD_SAFE
#define ELPP_NO_DEFAULT_LOG_FILE
#define ELPP_DISABLE_DEFAULT_CRASH_HANDLING
#define ELPP_CUSTOM_COUT bilberrytrail::LogStream()
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)

INITIALIZE_EASYLOGGINGPP

namespace bilberrytrail {

namespace {

constexpr const char* kLogger = "default";
constexpr const char* kLineFormat =
  "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg";

std::atomic<LogLevel> sLevel{ LogLevel::Info };

void
Configure(const std::string& aFile)
{
  el::Configurations conf;
  conf.setToDefault();
  conf.setGlobally(el::ConfigurationType::Format, kLineFormat);
  conf.setGlobally(el::ConfigurationType::ToStandardOutput,
                   aFile.empty() ? "true" : "false");
  conf.setGlobally(el::ConfigurationType::ToFile,
                   aFile.empty() ? "false" : "true");
  if (!aFile.empty()) {
    conf.setGlobally(el::ConfigurationType::Filename, aFile);
  }
  el::Loggers::reconfigureLogger(kLogger, conf);
}

void
ConfigureOnce()
{
  static std::once_flag once;
  std::call_once(once, [] { Configure(""); });
}

void
Write(LogLevel aLevel, const std::string& aLine)
{
  switch (aLevel) {
    case LogLevel::Debug:
      CLOG(DEBUG, kLogger) << aLine;
      break;
    case LogLevel::Info:
      CLOG(INFO, kLogger) << aLine;
      break;
    case LogLevel::Warning:
      CLOG(WARNING, kLogger) << aLine;
      break;
    case LogLevel::Error:
      CLOG(ERROR, kLogger) << aLine;
      break;
  }
}

} // namespace

Result<void>
OpenLog(const LogOptions& aOptions)
{
  ConfigureOnce();
  if (!aOptions.mFile.empty() &&
      !std::ofstream(aOptions.mFile, std::ios::app).is_open()) {
    return Fail(ErrorCode::Unavailable,
                "cannot append to log file " + aOptions.mFile);
  }
  Configure(aOptions.mFile);
  sLevel = aOptions.mLevel;
  return Ok();
}

void
LogLine(LogEvent aEvent, std::initializer_list<LogField> aFields)
{
  ConfigureOnce();
  const auto level = InfoOf(aEvent).mLevel;
  if (level >= sLevel) {
    Write(level, RenderLogLine(aEvent, aFields));
  }
}

} // namespace bilberrytrail
