#include "quarantine_service.h"

#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace bilberrytrail {

namespace {

constexpr const char* kMergeMethod = "quarantine.merge";
constexpr const char* kStartMethod = "quarantine.start";
constexpr const char* kEndMethod = "quarantine.end";
constexpr Duration kSendTimeout = 500ms;
constexpr Duration kTellPause = 5ms;
// Owners and deaths remembered; the oldest numbers are forgotten first.
constexpr std::size_t kMaxOwners = 8192;
constexpr std::size_t kMaxDeaths = 4096;

QuarantineSettings
MakeSettings(Duration aLifetime)
{
  QuarantineSettings settings;
  settings.mLifetime = aLifetime;
  return settings;
}

template<class Map>
void
Bound(Map& aMap, std::size_t aMost)
{
  while (aMap.size() > aMost) {
    aMap.erase(aMap.begin());
  }
}

} // namespace

QuarantineService::QuarantineService(Duration aLifetime,
                                     const ControlViewHolder& aViews)
  : mLifetime(aLifetime)
  , mViews(aViews)
  , mQuarantine(MakeQuarantine(MakeSettings(aLifetime)))
{
}

QuarantineVerdict
QuarantineService::Verdict(Fingerprint aFingerprint) const
{
  const std::lock_guard lock(mMutex);
  return mQuarantine->Verdict(aFingerprint, MonotonicNow());
}

Duration
QuarantineService::Remaining(Fingerprint aFingerprint) const
{
  const std::lock_guard lock(mMutex);
  return mQuarantine->Remaining(aFingerprint, MonotonicNow());
}

std::vector<QuarantineEntry>
QuarantineService::Entries() const
{
  const auto now = MonotonicNow();
  const std::lock_guard lock(mMutex);
  std::map<Fingerprint, QuarantineEntry> entries;
  for (const auto& record : mQuarantine->Export(now)) {
    if (record.mCleared) {
      continue;
    }
    auto& entry = entries[record.mFingerprint];
    entry.mFingerprint = record.mFingerprint;
    entry.mVerdict = mQuarantine->Verdict(record.mFingerprint, now);
    ++entry.mDeaths;
    entry.mAge = std::max(entry.mAge, mLifetime - record.mRemaining);
    const auto owner = mOwners.find(record.mFingerprint);
    if (owner != mOwners.end()) {
      entry.mProduct = owner->second.mProduct;
      entry.mAccount = owner->second.mAccount;
    }
  }
  std::vector<QuarantineEntry> list;
  list.reserve(entries.size());
  for (auto& [fingerprint, entry] : entries) {
    list.push_back(std::move(entry));
  }
  return list;
}

StartVerdict
QuarantineService::Start(ThreadContext& aThread,
                         Fingerprint aFingerprint,
                         const ServerId& aServer)
{
  const auto verdict = StartHere(aFingerprint, aServer);
  if (verdict != StartVerdict::Start ||
      Verdict(aFingerprint) != QuarantineVerdict::Suspect) {
    return verdict;
  }
  const auto view = mViews.Load();
  const auto* home = HomeOfReruns(*view, aFingerprint);
  if (home == nullptr) {
    return verdict;
  }
  const auto reply = aThread.Peers().Call(
    *home,
    kStartMethod,
    { { "fingerprint", ToText(aFingerprint) }, { "server", aServer.Text() } },
    kSendTimeout);
  if (!reply) {
    return verdict;
  }
  const auto there =
    FromName<StartVerdict>(reply.value().value("verdict", std::string()));
  if (!there || *there == StartVerdict::Start) {
    return verdict;
  }
  const std::lock_guard lock(mMutex);
  mQuarantine->End(
    aFingerprint, aServer, RunOutcome::Inconclusive, MonotonicNow());
  return *there;
}

const MemberRecord*
QuarantineService::HomeOfReruns(const ControlView& aView,
                                Fingerprint aFingerprint) const
{
  const auto home = HomeOf("quarantine/" + ToText(aFingerprint), aView.mHomes);
  return home == aView.mSelf ? nullptr : aView.FindMember(home);
}

StartVerdict
QuarantineService::StartHere(Fingerprint aFingerprint, const ServerId& aServer)
{
  const std::lock_guard lock(mMutex);
  return mQuarantine->Start(aFingerprint, aServer, MonotonicNow());
}

void
QuarantineService::End(ThreadContext& aThread,
                       Fingerprint aFingerprint,
                       const ServerId& aServer,
                       RunOutcome aEnd)
{
  const auto now = MonotonicNow();
  const bool wasClear = Verdict(aFingerprint) == QuarantineVerdict::Clear;
  {
    const std::lock_guard lock(mMutex);
    mQuarantine->End(aFingerprint, aServer, aEnd, now);
  }
  if (wasClear) {
    return;
  }
  const bool isFreed = Verdict(aFingerprint) == QuarantineVerdict::Clear;
  if (isFreed) {
    LogLine(LogEvent::QuarantineCleared,
            { { "fingerprint", ToText(aFingerprint) } });
  }
  aThread.GetLoop().Spawn([this, &aThread, aFingerprint, aServer, isFreed] {
    const auto view = mViews.Load();
    if (const auto* home = HomeOfReruns(*view, aFingerprint)) {
      (void)aThread.Peers().Call(*home,
                                 kEndMethod,
                                 { { "fingerprint", ToText(aFingerprint) },
                                   { "server", aServer.Text() } },
                                 kSendTimeout);
    }
    if (isFreed) {
      SendToAll(aThread, MakeMessage(RecordsOf({ aFingerprint })));
    }
  });
}

void
QuarantineService::AddRunning(const QuarantineRun& aRun)
{
  const std::lock_guard lock(mMutex);
  mRunning.insert(aRun);
}

void
QuarantineService::RemoveRunning(const QuarantineRun& aRun)
{
  const std::lock_guard lock(mMutex);
  const auto it = mRunning.find(aRun);
  if (it != mRunning.end()) {
    mRunning.erase(it);
  }
}

void
QuarantineService::OnDeath(ThreadContext& aThread,
                           const ServerId& aServer,
                           std::uint64_t aIncarnation)
{
  const auto death = MakeDeathId(aServer, aIncarnation);
  std::set<Fingerprint> fingerprints;
  bool isFirst = false;
  {
    const std::lock_guard lock(mMutex);
    isFirst = mDeaths.emplace(death, false).second;
    if (isFirst) {
      for (const auto& run : mRunning) {
        if (run.mServer == aServer && run.mIncarnation == aIncarnation) {
          fingerprints.insert(run.mFingerprint);
          KeepOwner(run.mFingerprint, run.mOwner);
        }
      }
      mQuarantine->ServerDied(death,
                              aServer,
                              { fingerprints.begin(), fingerprints.end() },
                              MonotonicNow());
    }
  }
  if (isFirst) {
    LogLine(LogEvent::ServerDead,
            { { "server", aServer }, { "requests", fingerprints.size() } });
    for (const auto it : fingerprints) {
      const bool isConvicted = Verdict(it) == QuarantineVerdict::Convicted;
      LogLine(isConvicted ? LogEvent::QuarantineConvicted
                          : LogEvent::QuarantineSuspect,
              { { "fingerprint", ToText(it) }, { "server", aServer } });
    }
    SendToAll(aThread, MakeMessage(RecordsOf(fingerprints)));
    const std::lock_guard lock(mMutex);
    mDeaths[death] = true;
    Bound(mDeaths, kMaxDeaths);
    return;
  }
  // Another request on the same server is telling the daemons.
  const auto end = MonotonicNow() + kSendTimeout;
  while (MonotonicNow() < end && aThread.GetLoop().Sleep(kTellPause)) {
    const std::lock_guard lock(mMutex);
    const auto it = mDeaths.find(death);
    if (it == mDeaths.end() || it->second) {
      return;
    }
  }
}

bool
QuarantineService::Clear(ThreadContext& aThread, Fingerprint aFingerprint)
{
  auto records = RecordsOf({ aFingerprint });
  std::erase_if(records, [](const auto& aRecord) { return aRecord.mCleared; });
  if (records.empty()) {
    return false;
  }
  for (auto& record : records) {
    record.mCleared = true;
  }
  {
    const std::lock_guard lock(mMutex);
    mQuarantine->Merge(records, MonotonicNow());
  }
  SendToAll(aThread, MakeMessage(records));
  return true;
}

void
QuarantineService::SendToOne(ThreadContext& aThread, std::uint64_t aRandom)
{
  const auto view = mViews.Load();
  std::vector<QuarantineRecord> records;
  {
    const std::lock_guard lock(mMutex);
    records = mQuarantine->Export(MonotonicNow());
  }
  if (records.empty() || view->mMembers.empty()) {
    return;
  }
  const auto& peer = view->mMembers[aRandom % view->mMembers.size()];
  if (peer.mId != view->mSelf) {
    (void)aThread.Peers().Call(
      peer, kMergeMethod, MakeMessage(records), kSendTimeout);
  }
}

void
QuarantineService::AddMethods(RpcMethods& aMethods)
{
  aMethods.Add(kMergeMethod,
               [this](const Json& aParams) { return ServeMerge(aParams); });
  aMethods.Add(kStartMethod,
               [this](const Json& aParams) { return ServeStart(aParams); });
  aMethods.Add(kEndMethod,
               [this](const Json& aParams) { return ServeEnd(aParams); });
}

Result<Json>
QuarantineService::ServeStart(const Json& aParams)
{
  JsonFields fields(aParams);
  const auto fingerprint = ReadFingerprint(fields.Text("fingerprint"));
  const ServerId server(fields.Text("server"));
  if (auto ok = fields.Check(); !ok || !fingerprint) {
    return Fail(ErrorCode::Corrupt, "malformed quarantine.start");
  }
  return Json{ { "verdict", ToName(StartHere(*fingerprint, server)) } };
}

Result<Json>
QuarantineService::ServeEnd(const Json& aParams)
{
  JsonFields fields(aParams);
  const auto fingerprint = ReadFingerprint(fields.Text("fingerprint"));
  const ServerId server(fields.Text("server"));
  if (auto ok = fields.Check(); !ok || !fingerprint) {
    return Fail(ErrorCode::Corrupt, "malformed quarantine.end");
  }
  // Whether the run was clean comes with the records.
  const std::lock_guard lock(mMutex);
  mQuarantine->End(
    *fingerprint, server, RunOutcome::Inconclusive, MonotonicNow());
  return Json::object();
}

Result<Json>
QuarantineService::ServeMerge(const Json& aParams)
{
  JsonFields fields(aParams);
  std::vector<QuarantineRecord> records;
  std::map<Fingerprint, FingerprintOwner> owners;
  for (const auto& it : fields.List("records")) {
    JsonFields record(it);
    const auto fingerprint = ReadFingerprint(record.Text("fingerprint"));
    const DeathId death(record.Unsigned("death"));
    const bool isCleared = record.Flag("cleared");
    const auto remaining = record.Unsigned32("remaining_ms");
    const FingerprintOwner owner{ ProductId(record.Text("product")),
                                  AccountId(record.Text("account")) };
    if (auto ok = record.Check(); !ok || !fingerprint) {
      return Fail(ErrorCode::Corrupt, "malformed quarantine record");
    }
    records.push_back(
      { *fingerprint, death, isCleared, std::chrono::milliseconds(remaining) });
    owners.emplace(*fingerprint, owner);
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  const std::lock_guard lock(mMutex);
  mQuarantine->Merge(records, MonotonicNow());
  for (const auto& [fingerprint, owner] : owners) {
    KeepOwner(fingerprint, owner);
  }
  return Json::object();
}

Json
QuarantineService::MakeMessage(
  const std::vector<QuarantineRecord>& aRecords) const
{
  const std::lock_guard lock(mMutex);
  auto list = Json::array();
  for (const auto& record : aRecords) {
    const auto owner = mOwners.find(record.mFingerprint);
    const bool isKnown = owner != mOwners.end();
    list.push_back(
      { { "fingerprint", ToText(record.mFingerprint) },
        { "death", record.mDeath.Value() },
        { "cleared", record.mCleared },
        { "remaining_ms",
          std::chrono::ceil<std::chrono::milliseconds>(record.mRemaining)
            .count() },
        { "product", isKnown ? owner->second.mProduct.Text() : "" },
        { "account", isKnown ? owner->second.mAccount.Text() : "" } });
  }
  return { { "records", std::move(list) } };
}

std::vector<QuarantineRecord>
QuarantineService::RecordsOf(const std::set<Fingerprint>& aFingerprints) const
{
  std::vector<QuarantineRecord> records;
  {
    const std::lock_guard lock(mMutex);
    records = mQuarantine->Export(MonotonicNow());
  }
  std::erase_if(records, [&](const QuarantineRecord& aRecord) {
    return !aFingerprints.contains(aRecord.mFingerprint);
  });
  return records;
}

void
QuarantineService::SendToAll(ThreadContext& aThread, const Json& aMessage)
{
  struct Sending
  {
    explicit Sending(Loop& aLoop)
      : mDone(aLoop)
    {
    }
    Event mDone;
    std::size_t mLeft = 0;
  };
  const auto view = mViews.Load();
  const auto sending = std::make_shared<Sending>(aThread.GetLoop());
  const auto message = std::make_shared<const Json>(aMessage);
  for (const auto& member : view->mMembers) {
    if (member.mId == view->mSelf) {
      continue;
    }
    ++sending->mLeft;
    aThread.GetLoop().Spawn([&aThread, sending, message, member] {
      (void)aThread.Peers().Call(member, kMergeMethod, *message, kSendTimeout);
      if (--sending->mLeft == 0) {
        sending->mDone.Notify();
      }
    });
  }
  if (sending->mLeft > 0) {
    (void)sending->mDone.Wait(kSendTimeout);
  }
}

void
QuarantineService::KeepOwner(Fingerprint aFingerprint,
                             const FingerprintOwner& aOwner)
{
  mOwners.insert_or_assign(aFingerprint, aOwner);
  Bound(mOwners, kMaxOwners);
}

Fingerprint
FingerprintOfCompletion(const FingerprintOwner& aOwner,
                        std::string_view aModel,
                        std::string_view aAdapter,
                        std::string_view aPrompt)
{
  // Lengths keep the parts apart.
  std::string body =
    std::to_string(aModel.size()) + ":" + std::to_string(aAdapter.size()) + ":";
  body.append(aModel).append(aAdapter).append(aPrompt);
  return MakeFingerprint(aOwner.mProduct, aOwner.mAccount, body);
}

std::string
ToText(Fingerprint aFingerprint)
{
  constexpr std::size_t kDigits = 16;
  constexpr int kBase = 16;
  std::array<char, kDigits> buf{};
  const auto [end, ec] = std::to_chars(
    buf.data(), buf.data() + buf.size(), aFingerprint.Value(), kBase);
  const std::string digits(buf.data(), end);
  return std::string(kDigits - digits.size(), '0') + digits;
}

std::optional<Fingerprint>
ReadFingerprint(std::string_view aText)
{
  constexpr std::size_t kDigits = 16;
  constexpr int kBase = 16;
  std::uint64_t n = 0;
  const auto [end, ec] =
    std::from_chars(aText.data(), aText.data() + aText.size(), n, kBase);
  if (aText.size() != kDigits || ec != std::errc() ||
      end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return Fingerprint(n);
}

} // namespace bilberrytrail
