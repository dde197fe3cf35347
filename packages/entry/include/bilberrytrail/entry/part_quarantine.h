#pragma once

#include <bilberrytrail/entry/caller_request.h>
#include <bilberrytrail/traffic/quarantine.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Identifies a part of prompts for one model, or a whole request; the same on
// every daemon.
using PartKey = Number<struct PartKeyTag>;

[[nodiscard]] PartKey
MakePartKey(const ModelId& aModel, std::string_view aPart);

// Returns the key of a request; the same for requests of one client account
// with the same method, target, prompt and body.
[[nodiscard]] PartKey
MakeRequestKey(const CallerRequest& aRequest, const AccountId& aAccount);

// Returns the keys of the parts that other prompts may have too, in order.
[[nodiscard]] std::vector<PartKey>
SharedPartKeys(const Prompt& aPrompt);

// The end of a server that was to answer a prompt with a part.
struct PartDeath
{
  DeathId mDeath;
  Instant mAt;
};

// What is known of a part that waited at servers when they ended.
struct PartEvidence
{
  PartKey mPart;
  // Place in the prompt; 0 is the first part.
  std::uint32_t mPlace = 0;
  // Last known time at which a server that answered a prompt with the part was
  // still running.
  std::optional<Instant> mSoundAt;
  // Deaths after mSoundAt, oldest first.
  std::vector<PartDeath> mDeaths;
};

// What the keys of a quarantine identify.
enum class QuarantinedKind : unsigned char
{
  Part,
  Request
};

template<>
struct EnumNames<QuarantinedKind>
{
  static constexpr std::array<std::string_view, 2> kNames{ "part", "request" };
};

// Thresholds and bounds of a part quarantine.
struct PartQuarantineSettings
{
  QuarantinedKind mKind = QuarantinedKind::Part;
  // Deaths that quarantine a part.
  std::size_t mDeaths = 3;
  // Deaths that quarantine a part that servers answered on before.
  std::size_t mDeathsOfSound = 5;
  // Servers that end within this time of each other count as one: they probably
  // have a cause in common that is no request.
  Duration mCoincidence = 50ms;
  // Time since the first death within which other daemons can report that
  // servers answer on the part.
  Duration mClearTime = 1s;
  // Time for which a death counts.
  Duration mLifetime = 600s;
  std::size_t mMaxParts = 256;
};

// Keeps prompts with a part that crashes servers from crashing further ones.
//
// The end of a server counts against the shared parts of all prompts that
// waited at it. Since such a part crashes every server that begins to answer on
// it, a single answer that goes on clears a part of all earlier deaths. A part
// that collects several deaths without such an answer is quarantined. Of parts
// that waited at the same deaths, the one with the most deaths explains them,
// or else the last one in the prompt, and they no longer count against others.
// Evidence of other daemons is merged, in any order and any number of times.
// Requests that come again and crash servers as a whole are quarantined in the
// same way, as prompts with a single part; they have a quarantine of their own,
// so that the two kinds of evidence don't explain each other. Not thread-safe.
//
//   if (const auto time = parts.QuarantineTime(keys, now)) { ... refuse ... }
//   parts.ServerDied(death, keys, brokenAt, now);
//   parts.AnswerWentOn(keys, now);
class PartQuarantine
{
public:
  // Bounds the size of the messages that carry evidence.
  static constexpr std::size_t kMaxRecent = 8;
  // Most deaths that are kept for a part.
  static constexpr std::size_t kMaxDeaths = 12;

  explicit PartQuarantine(const PartQuarantineSettings& aSettings = {})
    : mSettings(aSettings)
  {
  }

  // Returns whether a server that was to answer on this part ended.
  [[nodiscard]] bool IsSuspect(PartKey aPart) const;
  // Returns the number of parts with evidence.
  [[nodiscard]] std::size_t size() const noexcept { return mEntries.size(); }
  // Returns for how long prompts with these parts are refused; nothing when
  // none of the parts is in quarantine.
  [[nodiscard]] std::optional<Duration> QuarantineTime(
    std::span<const PartKey> aParts,
    Instant aNow);
  // Returns the evidence that other daemons need, at most kMaxRecent parts:
  // those in quarantine, and those with recent news.
  [[nodiscard]] std::vector<PartEvidence> Recent(Instant aNow) const;

  // Records that a server ended at aAt before it had answered a prompt with
  // these shared parts, which are in the order of the prompt.
  void ServerDied(DeathId aDeath,
                  std::span<const PartKey> aParts,
                  Instant aAt,
                  Instant aNow);
  // Records that a server goes on after it has begun to answer a prompt with
  // these parts.
  void AnswerWentOn(std::span<const PartKey> aParts, Instant aNow);
  // Returns whether the end of a server counts against any part.
  [[nodiscard]] bool Knows(DeathId aDeath) const;
  // Takes a server's end back, since the server goes on: it counts against no
  // part any more, whichever daemon reports it.
  void TakeBack(DeathId aDeath, Instant aNow);
  // Adds evidence of another daemon.
  void Merge(std::span<const PartEvidence> aEvidence, Instant aNow);

private:
  struct Entry
  {
    PartEvidence mEvidence;
    Instant mChangedAt;
    bool mIsQuarantined = false;
  };

  [[nodiscard]] Entry& EntryOf(PartKey aPart, std::uint32_t aPlace);
  // Returns when a server last went on after answering on a part, as far as
  // this daemon remembers.
  [[nodiscard]] std::optional<Instant> SoundAt(PartKey aPart) const;
  void RememberSound(PartKey aPart, Instant aNow);
  // Clears a part of its deaths up to a time. Returns whether that is news.
  bool Clear(Entry& aEntry, std::optional<Instant> aSoundAt);
  bool AddDeath(Entry& aEntry, const PartDeath& aDeath);
  void NoteChange(Entry& aEntry, Instant aNow);
  [[nodiscard]] std::size_t CountDeaths(
    const PartEvidence& aEvidence,
    const std::set<DeathId>& aExplained) const;
  [[nodiscard]] bool IsConvicted(const PartEvidence& aEvidence,
                                 const std::set<DeathId>& aExplained,
                                 Instant aNow) const;
  // Drops what no longer counts and decides anew which parts are in quarantine.
  void Update(Instant aNow);
  void DropOld(Instant aNow);

  const PartQuarantineSettings mSettings;
  std::map<PartKey, Entry> mEntries;
  // Ends of servers that were taken back, and when.
  std::map<DeathId, Instant> mTakenBack;
  // Parts that servers answered on recently, in two generations.
  std::array<std::unordered_map<PartKey, Instant>, 2> mSound;
  Instant mGenerationSince;
};

} // namespace bilberrytrail
