#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>

#include <optional>
#include <set>

namespace bilberrytrail::standins {

// Decides when an engine reports its load: at its own period, or on change and
// within the time that its readers ask for once all of them ask so.
class LoadReports
{
public:
  // Takes what a reader asks for; zero when it asks for nothing.
  void AddReader(Duration aWithin);
  void RemoveReader(Duration aWithin);

  // Asked once in the engine's own period.
  [[nodiscard]] bool IsDue(const EngineState& aState, Instant aNow) const;
  void OnReported(const EngineState& aState, Instant aNow);
  // Returns the time since the last report.
  [[nodiscard]] Duration SinceLast(Instant aNow) const noexcept
  {
    return aNow - mLastAt;
  }

private:
  std::multiset<Duration> mReaders;
  std::optional<EngineState> mLast;
  Instant mLastAt{};
};

} // namespace bilberrytrail::standins
