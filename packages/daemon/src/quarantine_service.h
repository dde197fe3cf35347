#pragma once

#include "control_view.h"
#include "home_message.h"
#include "thread_context.h"

#include <bilberrytrail/runtime/rpc.h>
#include <bilberrytrail/traffic/quarantine.h>

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace bilberrytrail {

// What the caller of a convicted request is told.
inline constexpr std::string_view kConvictedText =
  "backend servers died under this request twice; it is not run again";

// One fingerprint that deaths count against, for operators.
struct QuarantineEntry
{
  Fingerprint mFingerprint;
  ProductId mProduct;
  AccountId mAccount;
  QuarantineVerdict mVerdict = QuarantineVerdict::Clear;
  std::uint32_t mDeaths = 0;
  // Time since the first of the deaths.
  Duration mAge{};
};

// Who sent the request of a fingerprint.
struct FingerprintOwner
{
  ProductId mProduct;
  AccountId mAccount;
};

// One run of a request on a server of this home.
struct QuarantineRun
{
  Fingerprint mFingerprint;
  FingerprintOwner mOwner;
  ServerId mServer;
  // The server's incarnation when the request was sent to it.
  std::uint64_t mIncarnation = 0;

  auto operator<=>(const QuarantineRun& aOther) const
  {
    return std::tie(mServer, mIncarnation, mFingerprint) <=>
           std::tie(aOther.mServer, aOther.mIncarnation, aOther.mFingerprint);
  }
};

// Keeps requests that crash servers from taking further servers, over all
// daemons: holds the quarantine of this daemon and sends what it learns to the
// others. Thread-safe.
class QuarantineService
{
public:
  QuarantineService(Duration aLifetime, const ControlViewHolder& aViews);

  [[nodiscard]] QuarantineVerdict Verdict(Fingerprint aFingerprint) const;
  // Returns how long the present verdict holds if nothing else happens.
  [[nodiscard]] Duration Remaining(Fingerprint aFingerprint) const;
  // Returns what is held against fingerprints now, for operators.
  [[nodiscard]] std::vector<QuarantineEntry> Entries() const;

  // Asks to run a request on a server of this home. For a suspect the home of
  // the fingerprint is asked too, so that one rerun goes on at a time; when it
  // does not answer, the run starts without.
  [[nodiscard]] StartVerdict Start(ThreadContext& aThread,
                                   Fingerprint aFingerprint,
                                   const ServerId& aServer);
  // Ends a run that Start allowed. A clean end of a suspect is told to the
  // other daemons.
  void End(ThreadContext& aThread,
           Fingerprint aFingerprint,
           const ServerId& aServer,
           RunOutcome aEnd);
  // Notes that the request is on the server now, and no longer.
  void AddRunning(const QuarantineRun& aRun);
  void RemoveRunning(const QuarantineRun& aRun);
  // Notes that the incarnation of the server died. Counts the death against
  // all requests that were running on it, and returns once the other daemons
  // have been told or did not answer in time.
  void OnDeath(ThreadContext& aThread,
               const ServerId& aServer,
               std::uint64_t aIncarnation);

  // Speaks a fingerprint free on all daemons. Returns false when nothing is
  // held against it.
  [[nodiscard]] bool Clear(ThreadContext& aThread, Fingerprint aFingerprint);
  // Sends all records to one other daemon, for those that missed some.
  void SendToOne(ThreadContext& aThread, std::uint64_t aRandom);
  // Adds the calls that other daemons make.
  void AddMethods(RpcMethods& aMethods);

private:
  [[nodiscard]] Result<Json> ServeMerge(const Json& aParams);
  [[nodiscard]] Result<Json> ServeStart(const Json& aParams);
  [[nodiscard]] Result<Json> ServeEnd(const Json& aParams);
  [[nodiscard]] StartVerdict StartHere(Fingerprint aFingerprint,
                                       const ServerId& aServer);
  // Returns the daemon that keeps reruns of the fingerprint apart, or null
  // when it is this one or not known.
  [[nodiscard]] const MemberRecord* HomeOfReruns(
    const ControlView& aView,
    Fingerprint aFingerprint) const;
  [[nodiscard]] Json MakeMessage(
    const std::vector<QuarantineRecord>& aRecords) const;
  [[nodiscard]] std::vector<QuarantineRecord> RecordsOf(
    const std::set<Fingerprint>& aFingerprints) const;
  // Sends to all other daemons at once and waits for their answers.
  void SendToAll(ThreadContext& aThread, const Json& aMessage);
  void KeepOwner(Fingerprint aFingerprint, const FingerprintOwner& aOwner);

  const Duration mLifetime;
  const ControlViewHolder& mViews;
  mutable std::mutex mMutex;
  std::unique_ptr<Quarantine> mQuarantine;
  std::multiset<QuarantineRun> mRunning;
  std::map<Fingerprint, FingerprintOwner> mOwners;
  // Deaths that were told to the others, and those being told.
  std::map<DeathId, bool> mDeaths;
};

// Returns the fingerprint of a completion or of a service call.
[[nodiscard]] Fingerprint
FingerprintOfCompletion(const FingerprintOwner& aOwner,
                        std::string_view aModel,
                        std::string_view aAdapter,
                        std::string_view aPrompt);

// Returns the text of a fingerprint, 16 hexadecimal digits, and reads it.
[[nodiscard]] std::string
ToText(Fingerprint aFingerprint);
[[nodiscard]] std::optional<Fingerprint>
ReadFingerprint(std::string_view aText);

} // namespace bilberrytrail
