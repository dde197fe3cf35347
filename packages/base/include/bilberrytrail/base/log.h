#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/log_event.h>
#include <bilberrytrail/base/time.h>

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace bilberrytrail {

// One key=value field of a log line. The key is a literal of lower-case
// letters, digits and '_'.
struct LogField
{
  std::string_view mKey;
  std::string mValue;

  LogField(std::string_view aKey, std::string_view aValue)
    : mKey(aKey)
    , mValue(aValue)
  {
  }
  LogField(std::string_view aKey, const char* aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, const std::string& aValue)
    : LogField(aKey, std::string_view(aValue))
  {
  }
  LogField(std::string_view aKey, bool aValue)
    : LogField(aKey, std::string_view(aValue ? "true" : "false"))
  {
  }
  template<std::integral T>
  LogField(std::string_view aKey, T aValue)
    : mKey(aKey)
    , mValue(std::to_string(aValue))
  {
  }
  // Durations are written in milliseconds.
  LogField(std::string_view aKey, Duration aValue);
  template<class Tag>
  LogField(std::string_view aKey, const Id<Tag>& aValue)
    : LogField(aKey, std::string_view(aValue.Text()))
  {
  }
  template<class Tag>
  LogField(std::string_view aKey, Number<Tag> aValue)
    : LogField(aKey, aValue.Value())
  {
  }
  template<class E>
  requires std::is_enum_v<E> LogField(std::string_view aKey, E aValue)
    : LogField(aKey, ToName(aValue))
  {
  }
};

// Destination and minimum level of the log.
struct LogOptions
{
  LogLevel mLevel = LogLevel::Info;
  // File to append to; empty for standard output, which is written without
  // blocking: lines that its reader does not read in time are dropped and
  // counted.
  std::string mFile;
};

// Sets the destination and level of this process's log. Before the first call,
// lines of Info and above go to standard output. Fails with Unavailable when
// the file cannot be opened for appending, and leaves the log as it was.
[[nodiscard]] Result<void>
OpenLog(const LogOptions& aOptions);

// Writes one event; thread-safe.
//
//   LogLine(LogEvent::MemberDead, { { "daemon", id }, { "after", silence } });
void
LogLine(LogEvent aEvent, std::initializer_list<LogField> aFields = {});

// Returns "event=1203 name=member_dead key=value ..." of at most
// kMaxLogLineBytes. Values with special characters are quoted and
// escaped; long values are truncated; fields that do not fit are counted in
// "omitted". The value of a field whose key names a secret or a caller's text
// (prompt, answer, body, token, key, secret, authorization) is withheld.
[[nodiscard]] std::string
RenderLogLine(LogEvent aEvent, std::initializer_list<LogField> aFields);

inline constexpr std::size_t kMaxLogLineBytes = 2048;
inline constexpr std::size_t kMaxLogValueBytes = 256;

} // namespace bilberrytrail
