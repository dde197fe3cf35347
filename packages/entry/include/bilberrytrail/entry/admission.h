#pragma once

#include <bilberrytrail/base/time.h>

#include <optional>

namespace bilberrytrail {

// Limits for the admission of prompts.
struct AdmissionSettings
{
  // A prompt is refused at once when its first event is estimated to come later
  // than this multiple of its objective: its caller would get a late answer or
  // give up, and its work would delay others too.
  double mMaxObjectives = 0.35;
  // Bounds of the Retry-After of refused callers, which is the estimated time.
  Duration mMinRetryAfter = 100ms;
  Duration mMaxRetryAfter = 2s;
};

// Limits for homes: they know all work at the servers, so that their estimates
// are accurate enough for a higher limit.
[[nodiscard]] constexpr AdmissionSettings
HomeAdmissionSettings() noexcept
{
  AdmissionSettings settings;
  settings.mMaxObjectives = 0.8;
  return settings;
}

// Returns nothing when a prompt is admitted, else the time after which its
// caller may retry. aTime is the lowest estimated time to the first event among
// the servers.
[[nodiscard]] std::optional<Duration>
RefusePrompt(Duration aTime,
             Duration aObjective,
             const AdmissionSettings& aSettings) noexcept;

} // namespace bilberrytrail
