#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/server_load.h>

#include <array>

namespace bilberrytrail {

// Lets prompts in by rank as the room of a group of servers runs out: as the
// times of urgent prompts near what their callers bear, less urgent ones are
// let in only where they would be early, and at last next to none. Without
// urgent prompts it holds nothing back.
//
// Loads are estimated times to the first event, as multiples of the longest at
// which a prompt is admitted.
//
//   if (admission.Admits(rank, load, now)) { ... }
class RankAdmission
{
public:
  // Load of the urgent prompts, on average, from which less urgent ones are
  // held back, and at which as many as possible are.
  static constexpr double kCalmLoad = 0.7;
  static constexpr double kFullLoad = 1.0;
  // Load at which a less urgent prompt is admitted in any case: a server is
  // free for it.
  static constexpr double kFreeLoad = 0.1;

  // Returns whether a prompt is admitted, and counts its load for less urgent
  // ones. The load that decides is aFactor times its own.
  [[nodiscard]] bool Admits(unsigned aRank,
                            double aLoad,
                            Instant aNow,
                            double aFactor = 1);
  // Returns the average load of the prompts that are more urgent.
  [[nodiscard]] double LoadAbove(unsigned aRank, Instant aNow) const;

private:
  struct Average
  {
    double mLoad = 0;
    Instant mAt;
  };

  [[nodiscard]] double LoadOf(const Average& aAverage, Instant aNow) const;

  std::array<Average, kRanks> mAverages;
};

} // namespace bilberrytrail
