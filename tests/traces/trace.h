#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/traffic/work_class.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Kinds of lines of a trace, apart from its first and last.
enum class TraceKind : unsigned char
{
  // A request arrives.
  Request,
  // The engines evict a prompt; its blocks stay in a store.
  Evict,
  // A server loses the old weight version and loads the new one.
  Load,
  // The new weight version comes into force.
  Release
};

template<>
struct EnumNames<TraceKind>
{
  static constexpr std::array<std::string_view, 4> kNames{ "request",
                                                           "evict",
                                                           "load",
                                                           "release" };
};

// What happens to a request at its backend server.
enum class TraceFate : unsigned char
{
  Normal,
  // The server dies while it runs the request.
  Crash,
  // The service runs the call and its reply is lost.
  LostReply
};

template<>
struct EnumNames<TraceFate>
{
  static constexpr std::array<std::string_view, 3> kNames{ "normal",
                                                           "crash",
                                                           "lost_reply" };
};

// One line of a trace.
struct TraceEvent
{
  TraceKind mKind = TraceKind::Request;
  Duration mAt{};
  // Request and Evict.
  std::string mAccount;
  std::string mPrompt;
  std::uint32_t mBlocks = 0;
  // Request.
  WorkClass mClass = WorkClass::Short;
  std::uint32_t mAnswerTokens = 0;
  // Idempotency key of a call that may not be repeated, else empty.
  std::string mKey;
  TraceFate mFate = TraceFate::Normal;
  // True running time over the estimated one.
  double mSlowdown = 1;
  // Load: the server's index, and how long it loads.
  std::uint32_t mServer = 0;
  Duration mLength{};
};

// A deployment, what happened there, and the outcome that must follow. An
// outcome's name ends with "_max" or "_min" for a bound, else it is exact.
struct Trace
{
  std::string mSite;
  std::uint32_t mEngines = 0;
  std::uint32_t mServices = 0;
  std::vector<TraceEvent> mEvents;
  std::map<std::string, double> mOutcome;
};

// Reads and writes a trace as lines of JSON. Reading fails with Corrupt.
[[nodiscard]] Result<Trace>
ReadTrace(std::string_view aText);
[[nodiscard]] std::string
WriteTrace(const Trace& aTrace);

} // namespace bilberrytrail
