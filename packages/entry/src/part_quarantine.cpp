#include <bilberrytrail/entry/part_quarantine.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

// Time for which news about a part are passed on.
constexpr Duration kNewsTime = 2s;
// Time for which a cleared part is remembered, so that late evidence of earlier
// deaths does not count again.
constexpr Duration kClearedKeepTime = 60s;
// Times of other daemons are estimated from the age in their messages, so that
// a difference below this is none.
constexpr Duration kTimeTolerance = 100ms;
// A generation of sound parts ends after this time, or at this size.
constexpr Duration kGenerationTime = 60s;
constexpr std::size_t kMaxGeneration = 4096;

} // namespace

PartKey
MakePartKey(const ModelId& aModel, std::string_view aPart)
{
  std::string text = aModel.Text();
  text += '/';
  text += aPart;
  return PartKey(StableHash64(text));
}

PartKey
MakeRequestKey(const CallerRequest& aRequest, const AccountId& aAccount)
{
  std::string head;
  const auto add = [&](std::string_view aText) {
    head += std::to_string(aText.size());
    head += ':';
    head += aText;
  };
  add(aAccount.Text());
  add(aRequest.mHost);
  add(aRequest.mPassedOn.mMethod);
  add(aRequest.mPassedOn.mTarget);
  if (aRequest.mPrompt) {
    add(aRequest.mPrompt->mModel.Text());
    for (const auto& it : aRequest.mPrompt->mParts) {
      add(it.mId);
    }
  }
  return PartKey(KeyedHash64(head, aRequest.mBody));
}

std::vector<PartKey>
SharedPartKeys(const Prompt& aPrompt)
{
  std::vector<PartKey> keys;
  for (std::size_t n = 0; n + 1 < aPrompt.mParts.size(); ++n) {
    keys.push_back(MakePartKey(aPrompt.mModel, aPrompt.mParts[n].mId));
  }
  return keys;
}

bool
PartQuarantine::IsSuspect(PartKey aPart) const
{
  const auto it = mEntries.find(aPart);
  return it != mEntries.end() && !it->second.mEvidence.mDeaths.empty();
}

PartQuarantine::Entry&
PartQuarantine::EntryOf(PartKey aPart, std::uint32_t aPlace)
{
  auto& entry = mEntries[aPart];
  entry.mEvidence.mPart = aPart;
  entry.mEvidence.mPlace = std::max(entry.mEvidence.mPlace, aPlace);
  return entry;
}

std::optional<Instant>
PartQuarantine::SoundAt(PartKey aPart) const
{
  for (const auto& generation : mSound) {
    const auto it = generation.find(aPart);
    if (it != generation.end()) {
      return it->second;
    }
  }
  return std::nullopt;
}

void
PartQuarantine::RememberSound(PartKey aPart, Instant aNow)
{
  auto& [current, previous] = mSound;
  if (aNow - mGenerationSince > kGenerationTime ||
      current.size() >= kMaxGeneration) {
    previous = std::exchange(current, {});
    mGenerationSince = aNow;
  }
  current[aPart] = aNow;
}

bool
PartQuarantine::Clear(Entry& aEntry, std::optional<Instant> aSoundAt)
{
  auto& known = aEntry.mEvidence.mSoundAt;
  if (!aSoundAt || (known && *aSoundAt <= *known + kTimeTolerance)) {
    return false;
  }
  known = aSoundAt;
  std::erase_if(aEntry.mEvidence.mDeaths, [&](const PartDeath& aDeath) {
    return aDeath.mAt <= *aSoundAt;
  });
  return true;
}

bool
PartQuarantine::AddDeath(Entry& aEntry, const PartDeath& aDeath)
{
  auto& [part, place, soundAt, deaths] = aEntry.mEvidence;
  if (mTakenBack.contains(aDeath.mDeath)) {
    return false;
  }
  if (soundAt && aDeath.mAt <= *soundAt) {
    // The other daemon does not know yet that the part was cleared.
    return true;
  }
  const auto it = std::ranges::find(deaths, aDeath.mDeath, &PartDeath::mDeath);
  bool isNews = false;
  if (it != deaths.end()) {
    it->mAt = std::min(it->mAt, aDeath.mAt);
  } else if (deaths.size() < kMaxDeaths) {
    deaths.push_back(aDeath);
    isNews = true;
  }
  std::ranges::sort(deaths, {}, &PartDeath::mAt);
  return isNews;
}

void
PartQuarantine::NoteChange(Entry& aEntry, Instant aNow)
{
  aEntry.mChangedAt = aNow;
}

void
PartQuarantine::ServerDied(DeathId aDeath,
                           std::span<const PartKey> aParts,
                           Instant aAt,
                           Instant aNow)
{
  for (std::uint32_t place = 0; place < aParts.size(); ++place) {
    const auto soundAt = SoundAt(aParts[place]);
    if (soundAt && *soundAt >= aAt) {
      continue;
    }
    auto& entry = EntryOf(aParts[place], place);
    (void)Clear(entry, soundAt);
    if (AddDeath(entry, { aDeath, aAt })) {
      NoteChange(entry, aNow);
      LogLine(LogEvent::PartSuspect,
              { { "kind", mSettings.mKind },
                { "part", aParts[place] },
                { "place", place },
                { "death", aDeath },
                { "deaths", entry.mEvidence.mDeaths.size() } });
    }
  }
  Update(aNow);
}

void
PartQuarantine::AnswerWentOn(std::span<const PartKey> aParts, Instant aNow)
{
  bool isNews = false;
  for (const auto part : aParts) {
    RememberSound(part, aNow);
    const auto it = mEntries.find(part);
    if (it != mEntries.end() && !it->second.mEvidence.mDeaths.empty() &&
        Clear(it->second, aNow)) {
      NoteChange(it->second, aNow);
      isNews = true;
    }
  }
  if (isNews) {
    Update(aNow);
  }
}

bool
PartQuarantine::Knows(DeathId aDeath) const
{
  return std::ranges::any_of(mEntries, [&](const auto& aItem) {
    const auto& deaths = aItem.second.mEvidence.mDeaths;
    return std::ranges::find(deaths, aDeath, &PartDeath::mDeath) !=
           deaths.end();
  });
}

void
PartQuarantine::TakeBack(DeathId aDeath, Instant aNow)
{
  mTakenBack[aDeath] = aNow;
  for (auto& [part, entry] : mEntries) {
    std::erase_if(entry.mEvidence.mDeaths, [&](const PartDeath& aOther) {
      return aOther.mDeath == aDeath;
    });
  }
  Update(aNow);
}

void
PartQuarantine::Merge(std::span<const PartEvidence> aEvidence, Instant aNow)
{
  bool isNews = false;
  for (const auto& it : aEvidence) {
    if (it.mDeaths.empty() && !mEntries.contains(it.mPart)) {
      continue;
    }
    auto& entry = EntryOf(it.mPart, it.mPlace);
    bool isOwnNews = Clear(entry, SoundAt(it.mPart));
    isOwnNews = Clear(entry, it.mSoundAt) || isOwnNews;
    for (const auto& death : it.mDeaths) {
      isOwnNews = AddDeath(entry, death) || isOwnNews;
    }
    if (isOwnNews) {
      NoteChange(entry, aNow);
      isNews = true;
    }
  }
  if (isNews) {
    Update(aNow);
  }
}

std::vector<PartEvidence>
PartQuarantine::Recent(Instant aNow) const
{
  std::vector<const Entry*> recent;
  for (const auto& [part, entry] : mEntries) {
    if (entry.mIsQuarantined || aNow - entry.mChangedAt < kNewsTime) {
      recent.push_back(&entry);
    }
  }
  const auto rank = [](const Entry* aEntry) {
    return std::tuple(aEntry->mIsQuarantined,
                      aEntry->mEvidence.mDeaths.size(),
                      aEntry->mChangedAt);
  };
  std::ranges::sort(recent, std::ranges::greater(), rank);
  // Half of the places are for parts with deaths, and half for cleared ones;
  // either takes what the other leaves.
  const auto isCharged = [](const Entry* aEntry) {
    return aEntry->mIsQuarantined || !aEntry->mEvidence.mDeaths.empty();
  };
  const auto cleared = std::ranges::partition_point(recent, isCharged);
  const auto charged = static_cast<std::size_t>(cleared - recent.begin());
  const auto excess = recent.size() - std::min(recent.size(), kMaxRecent);
  const auto dropped =
    std::min(excess, charged - std::min(charged, kMaxRecent / 2));
  recent.erase(cleared - static_cast<std::ptrdiff_t>(dropped), cleared);
  recent.resize(std::min(recent.size(), kMaxRecent));
  std::vector<PartEvidence> evidence;
  evidence.reserve(recent.size());
  for (const auto* it : recent) {
    evidence.push_back(it->mEvidence);
  }
  return evidence;
}

std::size_t
PartQuarantine::CountDeaths(const PartEvidence& aEvidence,
                            const std::set<DeathId>& aExplained) const
{
  std::size_t count = 0;
  std::optional<Instant> last;
  for (const auto& it : aEvidence.mDeaths) {
    if (aExplained.contains(it.mDeath) ||
        (last && it.mAt - *last < mSettings.mCoincidence)) {
      continue;
    }
    last = it.mAt;
    ++count;
  }
  return count;
}

bool
PartQuarantine::IsConvicted(const PartEvidence& aEvidence,
                            const std::set<DeathId>& aExplained,
                            Instant aNow) const
{
  const auto least =
    aEvidence.mSoundAt ? mSettings.mDeathsOfSound : mSettings.mDeaths;
  return CountDeaths(aEvidence, aExplained) >= least &&
         aNow - aEvidence.mDeaths.front().mAt >= mSettings.mClearTime;
}

void
PartQuarantine::DropOld(Instant aNow)
{
  for (auto& [part, entry] : mEntries) {
    std::erase_if(entry.mEvidence.mDeaths, [&](const PartDeath& aDeath) {
      return aNow - aDeath.mAt >= mSettings.mLifetime;
    });
  }
  std::erase_if(mEntries, [&](const auto& aItem) {
    const auto& entry = aItem.second;
    return entry.mEvidence.mDeaths.empty() && !entry.mIsQuarantined &&
           aNow - entry.mChangedAt >= kClearedKeepTime;
  });
  std::erase_if(mTakenBack, [&](const auto& aItem) {
    return aNow - aItem.second >= mSettings.mLifetime;
  });
  while (mEntries.size() > mSettings.mMaxParts) {
    const auto least = std::ranges::min_element(mEntries, {}, [](auto& aItem) {
      const auto& entry = aItem.second;
      return std::tuple(
        entry.mIsQuarantined, entry.mEvidence.mDeaths.size(), entry.mChangedAt);
    });
    mEntries.erase(least);
  }
}

void
PartQuarantine::Update(Instant aNow)
{
  DropOld(aNow);
  std::vector<Entry*> ordered;
  for (auto& [part, entry] : mEntries) {
    ordered.push_back(&entry);
  }
  std::ranges::sort(ordered, std::ranges::greater(), [](const Entry* aEntry) {
    const auto& evidence = aEntry->mEvidence;
    return std::tuple(evidence.mDeaths.size(), evidence.mPlace, evidence.mPart);
  });
  std::set<DeathId> explained;
  for (auto* it : ordered) {
    const auto& evidence = it->mEvidence;
    const bool wasQuarantined =
      std::exchange(it->mIsQuarantined, IsConvicted(evidence, explained, aNow));
    if (it->mIsQuarantined) {
      for (const auto& death : evidence.mDeaths) {
        explained.insert(death.mDeath);
      }
    }
    if (it->mIsQuarantined && !wasQuarantined) {
      LogLine(LogEvent::PartQuarantined,
              { { "kind", mSettings.mKind },
                { "part", evidence.mPart },
                { "place", evidence.mPlace },
                { "deaths", evidence.mDeaths.size() },
                { "for", mSettings.mLifetime } });
    } else if (wasQuarantined && !it->mIsQuarantined) {
      LogLine(LogEvent::PartCleared,
              { { "kind", mSettings.mKind }, { "part", evidence.mPart } });
    }
  }
}

std::optional<Duration>
PartQuarantine::QuarantineTime(std::span<const PartKey> aParts, Instant aNow)
{
  if (mEntries.empty()) {
    return std::nullopt;
  }
  std::optional<Duration> longest;
  for (const auto part : aParts) {
    auto it = mEntries.find(part);
    if (it == mEntries.end() ||
        it->second.mEvidence.mDeaths.size() < mSettings.mDeaths) {
      continue;
    }
    // Time alone may begin or end a quarantine.
    Update(aNow);
    it = mEntries.find(part);
    if (it != mEntries.end() && it->second.mIsQuarantined) {
      const auto end =
        it->second.mEvidence.mDeaths.back().mAt + mSettings.mLifetime;
      longest = std::max(longest.value_or(Duration(0)), end - aNow);
    }
  }
  return longest;
}

} // namespace bilberrytrail
