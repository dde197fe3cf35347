#pragma once

#include <bilberrytrail/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace bilberrytrail {

// Number of priority ranks of requests at the servers; 0 is the most urgent.
inline constexpr std::size_t kRanks = 10;

// The work that one daemon has queued at one server, by rank. The server
// processes it at a fixed speed, urgent ranks first. Work is measured in tokens
// to read.
//
//   load.Add(rank, tokens, now);
//   const double ahead = load.WorkAhead(rank, now);
class ServerLoad
{
public:
  // aSpeed is in tokens per millisecond.
  explicit ServerLoad(double aSpeed) noexcept
    : mSpeed(aSpeed)
  {
  }

  // Returns the work in tokens that the server does before a request of this
  // rank that arrives now.
  [[nodiscard]] double WorkAhead(unsigned aRank, Instant aNow) const noexcept;

  // Changes the speed from aNow on.
  void SetSpeed(double aSpeed, Instant aNow) noexcept;
  void Add(unsigned aRank, double aTokens, Instant aNow) noexcept;
  // Removes work that the server will not do.
  void Remove(unsigned aRank, double aTokens, Instant aNow) noexcept;

private:
  using Work = std::array<double, kRanks>;

  // Returns the work that is left at aNow.
  [[nodiscard]] Work LeftAt(Instant aNow) const noexcept;

  double mSpeed;
  // Work left at mAt.
  Work mWork{};
  Instant mAt;
};

// The typical time that requests of one kind take beyond the work queued ahead
// of them, such as reads of kept KV cache and the time to write the first
// token. A delay above this baseline shows that a server is late.
class BaselineTime
{
public:
  // Returns the baseline; 0 before the first sample.
  [[nodiscard]] Duration Baseline() const noexcept { return mBaseline; }
  // Adds the time that an answer took beyond the known work. The baseline rises
  // slowly and falls faster, so that a passing delay does not become part of
  // it.
  void Note(Duration aBeyond) noexcept;

private:
  Duration mBaseline{};
  bool mHasAny = false;
};

// The moving average of the tokens of the prompts of one kind.
class AverageTokens
{
public:
  // Returns the average; 0 before the first prompt.
  [[nodiscard]] double Average() const noexcept { return mAverage; }
  void Note(double aTokens) noexcept;

private:
  double mAverage = 0;
};

// The shared parts of prompts that a server probably keeps: those it read last,
// as far as they fit into its memory.
class RecentParts
{
public:
  [[nodiscard]] bool Contains(std::uint64_t aPart) const
  {
    return mPlaces.contains(aPart);
  }
  // Records that a server with memory for aCapacity tokens of parts used a part
  // of aTokens tokens. The part itself is kept even if it does not fit.
  void Use(std::uint64_t aPart, double aTokens, double aCapacity);

private:
  struct Part
  {
    std::uint64_t mId = 0;
    double mTokens = 0;
  };

  // Most recently used first.
  std::list<Part> mParts;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> mPlaces;
  double mTokens = 0;
};

} // namespace bilberrytrail
