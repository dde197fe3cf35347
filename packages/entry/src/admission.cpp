#include <bilberrytrail/entry/admission.h>

#include <algorithm>

namespace bilberrytrail {

std::optional<Duration>
RefusePrompt(Duration aTime,
             Duration aObjective,
             const AdmissionSettings& aSettings) noexcept
{
  if (ToMillis(aTime) <= aSettings.mMaxObjectives * ToMillis(aObjective)) {
    return std::nullopt;
  }
  return std::clamp(aTime, aSettings.mMinRetryAfter, aSettings.mMaxRetryAfter);
}

} // namespace bilberrytrail
