#include <bilberrytrail/entry/recovery_pace.h>

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

namespace {

// Returns the number of waiting requests that the pace allows; at most aMost.
std::size_t
AllowedBy(const RecoveryPace& aPace, std::size_t aMost = 100)
{
  std::size_t n = 0;
  while (n < aMost && aPace.Allows(n)) {
    ++n;
  }
  return n;
}

} // namespace

TEST_CASE("a pace opens with answers in time and narrows with late ones")
{
  enum class Answer : unsigned char
  {
    InTime,
    Late,
    Rejected
  };
  struct Row
  {
    std::vector<std::pair<Answer, int>> mAnswers;
    std::size_t mAllowed;
  };
  using enum Answer;
  const Row rows[] = {
    { {}, 2 },
    { { { InTime, 1 } }, 3 },
    { { { InTime, 6 } }, 8 },
    { { { InTime, 6 }, { Late, 1 } }, 4 },
    // Those that were sent before count once.
    { { { InTime, 6 }, { Late, 4 } }, 4 },
    { { { InTime, 6 }, { Rejected, 2 } }, 4 },
    { { { Late, 10 } }, 1 },
    { { { Late, 1 }, { InTime, 3 } }, 3 },
    { { { InTime, 30 } }, 100 },
    // Once open, later answers are no longer judged.
    { { { InTime, 30 }, { Late, 10 } }, 100 },
  };
  for (const auto& row : rows) {
    CAPTURE(&row - rows);
    RecoveryPace pace;
    CHECK(AllowedBy(pace) == 100);
    pace.Start();
    for (const auto& [answer, count] : row.mAnswers) {
      for (int n = 0; n < count; ++n) {
        if (answer == Rejected) {
          pace.NoteRejected();
        } else {
          pace.NoteBegun(answer == Late ? 301ms : 299ms, 150ms);
        }
      }
    }
    CHECK(AllowedBy(pace) == row.mAllowed);
  }
}

// Load: more requests than the server bears, from its start on. A server that
// bears eight at once answers in time up to there.
TEST_CASE("a pace finds what a server bears without flooding it")
{
  constexpr std::size_t kBears = 8;
  RecoveryPace pace;
  pace.Start();
  std::size_t most = 0;
  std::size_t served = 0;
  for (int round = 0; round < 50; ++round) {
    const auto waiting = AllowedBy(pace);
    most = std::max(most, waiting);
    served += std::min(waiting, kBears);
    for (std::size_t n = 0; n < waiting; ++n) {
      pace.NoteBegun(n < kBears ? 80ms : 400ms, 80ms);
    }
  }
  CHECK(most <= 2 * kBears);
  CHECK(served >= 50 * kBears / 2);
}
