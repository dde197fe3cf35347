#pragma once

#include <bilberrytrail/base/time.h>

#include <optional>

namespace bilberrytrail {

// Bounds of the admission of prompts.
struct AdmissionSettings
{
  // A prompt whose first event is estimated to come later than this multiple
  // of its objective is refused at once: its caller would get a late answer or
  // give up, and its work would make others late too.
  double mMaxObjectives = 0.35;
  // What refused callers are told to wait: the estimated time, in bounds.
  Duration mMinReturn = 100ms;
  Duration mMaxReturn = 2s;
};

// Bounds where all work at the servers is known, so that estimates are good.
[[nodiscard]] constexpr AdmissionSettings
HomeAdmission() noexcept
{
  AdmissionSettings settings;
  settings.mMaxObjectives = 0.8;
  return settings;
}

// Returns nothing when a prompt is admitted, else when its caller may return.
// aTime is the estimated time to the first event at the soonest server.
[[nodiscard]] std::optional<Duration>
RefusePrompt(Duration aTime,
             Duration aObjective,
             const AdmissionSettings& aSettings) noexcept;

} // namespace bilberrytrail
