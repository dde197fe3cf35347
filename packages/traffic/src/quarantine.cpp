#include <bilberrytrail/traffic/quarantine.h>

#include <bilberrytrail/base/digest.h>

#include <algorithm>
#include <map>
#include <string>

namespace bilberrytrail {
namespace {

// Number of server deaths that convicts a fingerprint.
constexpr std::size_t kConvictionDeaths = 2;

// A server death that counts, or counted, against a fingerprint.
struct Death
{
  bool mCleared = false;
  Instant mExpires;
};

// State of one fingerprint.
struct Suspect
{
  std::map<DeathId, Death> mDeaths;
};

// A rerun of a suspect in progress.
struct Rerun
{
  ServerId mServer;
  Instant mStarted;
  // The deaths known at the start, which a clean run clears.
  std::vector<DeathId> mDeaths;
};

std::size_t
CountDeaths(const Suspect& aSuspect, Instant aNow)
{
  return static_cast<std::size_t>(std::count_if(
    aSuspect.mDeaths.begin(), aSuspect.mDeaths.end(), [&](const auto& aDeath) {
      return !aDeath.second.mCleared && aDeath.second.mExpires > aNow;
    }));
}

// See MakeQuarantine.
class DeathCountQuarantine final : public Quarantine
{
public:
  explicit DeathCountQuarantine(const QuarantineSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  QuarantineVerdict Verdict(Fingerprint aFingerprint,
                            Instant aNow) const override
  {
    const auto it = mSuspects.find(aFingerprint);
    const auto deaths =
      it == mSuspects.end() ? 0 : CountDeaths(it->second, aNow);
    if (deaths >= kConvictionDeaths) {
      return QuarantineVerdict::Convicted;
    }
    return deaths > 0 ? QuarantineVerdict::Suspect : QuarantineVerdict::Clear;
  }

  Duration Remaining(Fingerprint aFingerprint, Instant aNow) const override
  {
    const auto it = mSuspects.find(aFingerprint);
    if (it == mSuspects.end()) {
      return Duration();
    }
    std::vector<Duration> left;
    for (const auto& [id, death] : it->second.mDeaths) {
      if (!death.mCleared && death.mExpires > aNow) {
        left.push_back(death.mExpires - aNow);
      }
    }
    if (left.empty()) {
      return Duration();
    }
    // A conviction ends when fewer than two unexpired deaths remain.
    std::sort(left.begin(), left.end(), std::greater<>());
    return left[std::min(left.size(), kConvictionDeaths) - 1];
  }

  std::vector<QuarantineRecord> Export(Instant aNow) const override
  {
    std::vector<QuarantineRecord> records;
    for (const auto& [fingerprint, suspect] : mSuspects) {
      for (const auto& [id, death] : suspect.mDeaths) {
        if (death.mExpires > aNow) {
          records.push_back(
            { fingerprint, id, death.mCleared, death.mExpires - aNow });
        }
      }
    }
    return records;
  }

  std::size_t size() const noexcept override { return mSuspects.size(); }

  StartVerdict Start(Fingerprint aFingerprint,
                     const ServerId& aServer,
                     Instant aNow) override
  {
    const auto verdict = Verdict(aFingerprint, aNow);
    if (verdict == QuarantineVerdict::Convicted) {
      return StartVerdict::Refuse;
    }
    if (verdict == QuarantineVerdict::Clear) {
      return StartVerdict::Start;
    }
    std::erase_if(mReruns, [&](const auto& aRerun) {
      return aNow - aRerun.second.mStarted >= mSettings.mMaxRerun;
    });
    if (mReruns.contains(aFingerprint)) {
      return StartVerdict::RerunElsewhere;
    }
    if (RunsSuspect(aServer)) {
      return StartVerdict::ServerBusy;
    }
    Rerun rerun{ aServer, aNow, {} };
    for (const auto& [id, death] : mSuspects.at(aFingerprint).mDeaths) {
      rerun.mDeaths.push_back(id);
    }
    mReruns.insert_or_assign(aFingerprint, std::move(rerun));
    return StartVerdict::Start;
  }

  void End(Fingerprint aFingerprint,
           const ServerId& aServer,
           RunOutcome aOutcome,
           Instant /*aNow*/) override
  {
    const auto rerun = mReruns.find(aFingerprint);
    if (rerun == mReruns.end() || rerun->second.mServer != aServer) {
      // The run started before the first death, so its outcome is no evidence.
      return;
    }
    const auto deaths = std::move(rerun->second.mDeaths);
    mReruns.erase(rerun);
    const auto it = mSuspects.find(aFingerprint);
    if (aOutcome != RunOutcome::Clean || it == mSuspects.end()) {
      return;
    }
    for (auto& [id, death] : it->second.mDeaths) {
      death.mCleared =
        death.mCleared ||
        std::find(deaths.begin(), deaths.end(), id) != deaths.end();
    }
  }

  void ServerDied(DeathId aDeath,
                  const ServerId& aServer,
                  const std::vector<Fingerprint>& aRunning,
                  Instant aNow) override
  {
    std::erase_if(mReruns, [&](const auto& aRerun) {
      return aRerun.second.mServer == aServer;
    });
    for (const auto fingerprint : aRunning) {
      Add({ fingerprint, aDeath, false, mSettings.mLifetime }, aNow);
    }
  }

  void Merge(const std::vector<QuarantineRecord>& aRecords,
             Instant aNow) override
  {
    for (const auto& record : aRecords) {
      if (record.mRemaining > Duration()) {
        Add(record, aNow);
      }
    }
  }

private:
  [[nodiscard]] bool RunsSuspect(const ServerId& aServer) const
  {
    return std::any_of(mReruns.begin(), mReruns.end(), [&](const auto& aRerun) {
      return aRerun.second.mServer == aServer;
    });
  }

  void Add(const QuarantineRecord& aRecord, Instant aNow)
  {
    RemoveExpired(aNow);
    auto& deaths = mSuspects[aRecord.mFingerprint].mDeaths;
    // Keep the earliest expiry: accepting a later one from another daemon would
    // extend the record with each exchange.
    const auto expires =
      aNow + std::min(aRecord.mRemaining, mSettings.mLifetime);
    auto& death =
      deaths.try_emplace(aRecord.mDeath, Death{ false, expires }).first->second;
    death.mExpires = std::min(death.mExpires, expires);
    death.mCleared = death.mCleared || aRecord.mCleared;
    if (mSuspects.size() > mSettings.mMaxFingerprints) {
      EvictOne(aRecord.mFingerprint, aNow);
    }
  }

  void RemoveExpired(Instant aNow)
  {
    for (auto& [fingerprint, suspect] : mSuspects) {
      std::erase_if(suspect.mDeaths, [&](const auto& aDeath) {
        return aDeath.second.mExpires + mSettings.mGrace <= aNow;
      });
    }
    std::erase_if(mSuspects, [](const auto& aSuspect) {
      return aSuspect.second.mDeaths.empty();
    });
  }

  // Removes the fingerprint with the fewest unexpired deaths; among equals, the
  // one that expires first. aKept is ranked as convicted.
  void EvictOne(Fingerprint aKept, Instant aNow)
  {
    const auto rank = [&](const auto& aSuspect) {
      return std::pair(aSuspect.first == aKept
                         ? kConvictionDeaths
                         : CountDeaths(aSuspect.second, aNow),
                       Remaining(aSuspect.first, aNow));
    };
    mSuspects.erase(
      std::min_element(mSuspects.begin(),
                       mSuspects.end(),
                       [&](const auto& aLeft, const auto& aRight) {
                         return rank(aLeft) < rank(aRight);
                       }));
  }

  QuarantineSettings mSettings;
  std::map<Fingerprint, Suspect> mSuspects;
  std::map<Fingerprint, Rerun> mReruns;
};

// See MakeNoQuarantine.
class NoQuarantine final : public Quarantine
{
public:
  QuarantineVerdict Verdict(Fingerprint /*aFingerprint*/,
                            Instant /*aNow*/) const override
  {
    return QuarantineVerdict::Clear;
  }
  Duration Remaining(Fingerprint /*aFingerprint*/,
                     Instant /*aNow*/) const override
  {
    return Duration();
  }
  std::vector<QuarantineRecord> Export(Instant /*aNow*/) const override
  {
    return {};
  }
  std::size_t size() const noexcept override { return 0; }
  StartVerdict Start(Fingerprint /*aFingerprint*/,
                     const ServerId& /*aServer*/,
                     Instant /*aNow*/) override
  {
    return StartVerdict::Start;
  }
  void End(Fingerprint /*aFingerprint*/,
           const ServerId& /*aServer*/,
           RunOutcome /*aOutcome*/,
           Instant /*aNow*/) override
  {
  }
  void ServerDied(DeathId /*aDeath*/,
                  const ServerId& /*aServer*/,
                  const std::vector<Fingerprint>& /*aRunning*/,
                  Instant /*aNow*/) override
  {
  }
  void Merge(const std::vector<QuarantineRecord>& /*aRecords*/,
             Instant /*aNow*/) override
  {
  }
};

} // namespace

Fingerprint
MakeFingerprint(const ProductId& aProduct,
                const AccountId& aAccount,
                std::string_view aBody)
{
  const auto owner = std::to_string(aProduct.Text().size()) + ":" +
                     aProduct.Text() + aAccount.Text();
  return Fingerprint(KeyedHash64(owner, aBody));
}

DeathId
MakeDeathId(const ServerId& aServer, std::uint64_t aRestarts)
{
  return DeathId(
    StableHash64(aServer.Text() + "#" + std::to_string(aRestarts)));
}

std::unique_ptr<Quarantine>
MakeQuarantine(const QuarantineSettings& aSettings)
{
  return std::make_unique<DeathCountQuarantine>(aSettings);
}

std::unique_ptr<Quarantine>
MakeNoQuarantine()
{
  return std::make_unique<NoQuarantine>();
}

} // namespace bilberrytrail
