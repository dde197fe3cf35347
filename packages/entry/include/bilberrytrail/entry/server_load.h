#pragma once

#include <bilberrytrail/base/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace bilberrytrail {

// Number of ranks by which servers order requests; 0 is the most urgent.
inline constexpr std::size_t kRanks = 10;

// The queue of one server as far as one daemon fills it: work by rank, which
// the server does at its speed, urgent ranks first. Work is in tokens to read.
//
//   load.Add(rank, tokens, now);
//   const double before = load.Before(rank, now);
class ServerLoad
{
public:
  // aSpeed is in tokens in a millisecond.
  explicit ServerLoad(double aSpeed) noexcept
    : mSpeed(aSpeed)
  {
  }

  // Returns the work that is done before a request of a rank that comes now.
  [[nodiscard]] double Before(unsigned aRank, Instant aNow) const noexcept;

  void Add(unsigned aRank, double aTokens, Instant aNow) noexcept;
  // Takes work back that will not be done.
  void Remove(unsigned aRank, double aTokens, Instant aNow) noexcept;

private:
  using Work = std::array<double, kRanks>;

  // Returns what is left of the work.
  [[nodiscard]] Work LeftAt(Instant aNow) const noexcept;

  double mSpeed;
  // What was left at mAt.
  Work mWork{};
  Instant mAt;
};

// The time that answers of one rank take beyond the work that is known before
// them: the usual part, such as reads of kept KV cache and the time to write
// the first token, and from it the excess of late.
class UsualTime
{
public:
  // Returns the usual part.
  [[nodiscard]] Duration Usual() const noexcept { return mUsual; }
  // Takes in what an answer took beyond known work. The usual part follows
  // slowly, and quicker downwards: a delay is not usual.
  void Note(Duration aBeyond) noexcept;

private:
  Duration mUsual{};
  bool mHasAny = false;
};

// Which shared parts of prompts a server probably keeps: those that it read
// last, as far as they fit into its memory.
class RecentParts
{
public:
  [[nodiscard]] bool Contains(std::uint64_t aPart) const
  {
    return mPlaces.contains(aPart);
  }
  // Notes that a part of some tokens was used at a server that has room for
  // aRoom tokens of parts.
  void Use(std::uint64_t aPart, double aTokens, double aRoom);

private:
  struct Part
  {
    std::uint64_t mId = 0;
    double mTokens = 0;
  };

  // The last used one first.
  std::list<Part> mParts;
  std::unordered_map<std::uint64_t, std::list<Part>::iterator> mPlaces;
  double mTokens = 0;
};

} // namespace bilberrytrail
