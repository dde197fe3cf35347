#pragma once

#include "trace.h"

#include <string_view>

namespace bilberrytrail {

// Seed of the kept traces.
inline constexpr std::uint64_t kTraceSeed = 7;

// What a generated trace shows.
enum class TraceTheme : unsigned char
{
  Swing,
  Stragglers,
  ReturningPrompts,
  Resends,
  RollingRelease
};

template<>
struct EnumNames<TraceTheme>
{
  static constexpr std::array<std::string_view, 5> kNames{ "swing",
                                                           "stragglers",
                                                           "returning_prompts",
                                                           "resends",
                                                           "rolling_release" };
};

// Sizes of a deployment.
struct TraceSite
{
  std::string_view mName;
  std::uint32_t mEngines;
  std::uint32_t mServices;
  Duration mLoadTime;
};

inline constexpr std::array<TraceSite, 2> kTraceSites{
  TraceSite{ "brotlag", 12, 3, 2s },
  TraceSite{ "lissadell", 9, 3, 1s }
};

// Makes a trace of 10 client accounts, a few of them large, with the outcome
// that must follow. Equal arguments give equal traces.
[[nodiscard]] Trace
MakeTrace(const TraceSite& aSite, TraceTheme aTheme, std::uint64_t aSeed);

} // namespace bilberrytrail
