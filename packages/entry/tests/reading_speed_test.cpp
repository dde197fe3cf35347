#include <bilberrytrail/entry/reading_speed.h>

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("the speed follows the answers, whatever each of them takes besides")
{
  struct Row
  {
    double mTokensPerMs;
    // Time that each answer takes in any case, and the most by which it is
    // later.
    double mBaseMs;
    double mNoiseMs;
    // Share of answers from a server that is 2.5 times slower.
    double mSlow;
    double mLeast;
    double mMost;
  };
  for (const Row& row : { Row{ 95, 10, 5, 0, 90, 100 },
                          Row{ 57, 10, 5, 0, 54, 60 },
                          Row{ 57, 120, 40, 0, 52, 62 },
                          // Faster servers count as the assumed ones.
                          Row{ 150, 5, 5, 0, 100, 100 },
                          Row{ 57, 20, 10, 0.15, 40, 57 },
                          // Beyond the bounds.
                          Row{ 5, 10, 5, 0, 50, 50 } }) {
    CAPTURE(row.mTokensPerMs);
    CAPTURE(row.mBaseMs);
    Random random(3);
    ReadingSpeed speed(100);
    for (int n = 0; n < 2000; ++n) {
      const double tokens = 200 + 20'000 * random.Unit() * random.Unit();
      const double factor = random.Unit() < row.mSlow ? 2.5 : 1;
      speed.Note(tokens,
                 FromMillis(row.mBaseMs + row.mNoiseMs * random.Unit() +
                            factor * tokens / row.mTokensPerMs));
    }
    CHECK(speed.TokensPerMs() >= row.mLeast);
    CHECK(speed.TokensPerMs() <= row.mMost);
  }
}

TEST_CASE("answers to equal prompts don't show the speed")
{
  ReadingSpeed speed(100);
  for (int n = 0; n < 30; ++n) {
    speed.Note(200, 12ms);
  }
  CHECK(speed.TokensPerMs() > 90);
  CHECK(speed.TokensPerMs() < 110);
}
