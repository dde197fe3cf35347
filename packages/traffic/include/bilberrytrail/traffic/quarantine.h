#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Identifies requests of one client account with the same body.
using Fingerprint = Number<struct FingerprintTag>;
// Identifies one death of one server; the same on every daemon.
using DeathId = Number<struct DeathTag>;

// Returns the fingerprint of a request. Requests of different products or
// client accounts have different fingerprints.
[[nodiscard]] Fingerprint
MakeFingerprint(const ProductId& aProduct,
                const AccountId& aAccount,
                std::string_view aBody);

// Returns the identifier of a server's death. aRestarts must change at each
// restart of the server and be the same on all daemons.
[[nodiscard]] DeathId
MakeDeathId(const ServerId& aServer, std::uint64_t aRestarts);

// Quarantine state of a fingerprint.
enum class QuarantineVerdict : unsigned char
{
  Clear,
  // It ran on one server that died; its reruns are isolated.
  Suspect,
  // It ran on two servers that died; it is not run again.
  Convicted
};

template<>
struct EnumNames<QuarantineVerdict>
{
  static constexpr std::array<std::string_view, 3> kNames{ "clear",
                                                           "suspect",
                                                           "convicted" };
};

// Whether a request may start on a server now.
enum class StartVerdict : unsigned char
{
  Start,
  // Another suspect runs on the server; use another server or wait.
  ServerBusy,
  // The same fingerprint is being rerun on another server; wait.
  RerunElsewhere,
  // The fingerprint is convicted; refuse at once.
  Refuse
};

template<>
struct EnumNames<StartVerdict>
{
  static constexpr std::array<std::string_view, 4> kNames{ "start",
                                                           "server_busy",
                                                           "rerun_elsewhere",
                                                           "refuse" };
};

// How a run ended.
enum class RunOutcome : unsigned char
{
  // It finished and its server survived.
  Clean,
  // It was cancelled or its outcome is unknown.
  Inconclusive
};

// One server death that counts against a fingerprint, as sent between daemons.
struct QuarantineRecord
{
  Fingerprint mFingerprint;
  DeathId mDeath;
  // A clean run after the death cleared the fingerprint of it.
  bool mCleared = false;
  // Time until the record expires.
  Duration mRemaining{};
};

// Sizes and times of a quarantine.
struct QuarantineSettings
{
  std::size_t mMaxFingerprints = 4096;
  // Time for which a death counts.
  Duration mLifetime = 600s;
  // Time for which an expired record is retained, so that a delayed copy from
  // another daemon does not restore it.
  Duration mGrace = 60s;
  // Time after which a rerun that has not ended no longer blocks another one.
  Duration mMaxRerun = 300s;
};

// Keeps requests that crash servers from crashing further servers.
//
// When a server dies, each request that ran on it becomes a suspect. A suspect
// is rerun on a server that runs no other suspect, one rerun of a fingerprint
// at a time. A second death convicts it, and a clean run clears it. Merging
// records is idempotent and does not depend on their order.
//
// Bound: a request crashes at most two servers if each of its runs starts after
// the records of the previous one have arrived. Each copy that was started
// before those records reached its daemon can crash one more.
//
//   switch (quarantine->Start(fingerprint, server, now)) { ... }
//   quarantine->End(fingerprint, server, RunOutcome::Clean, now);
class Quarantine
{
public:
  virtual ~Quarantine() = default;

  [[nodiscard]] virtual QuarantineVerdict Verdict(Fingerprint aFingerprint,
                                                  Instant aNow) const = 0;
  // Returns how long the current verdict holds if no further event occurs.
  [[nodiscard]] virtual Duration Remaining(Fingerprint aFingerprint,
                                           Instant aNow) const = 0;
  // Returns all unexpired records, for other daemons.
  [[nodiscard]] virtual std::vector<QuarantineRecord> Export(
    Instant aNow) const = 0;
  // Returns the number of fingerprints with records.
  [[nodiscard]] virtual std::size_t size() const noexcept = 0;

  // Decides whether a request may start on a server, and records the run of a
  // suspect when allowed. Called at the home of the server; for a suspect also
  // at the fingerprint's home.
  [[nodiscard]] virtual StartVerdict Start(Fingerprint aFingerprint,
                                           const ServerId& aServer,
                                           Instant aNow) = 0;
  // Records the end of a run that Start() allowed.
  virtual void End(Fingerprint aFingerprint,
                   const ServerId& aServer,
                   RunOutcome aOutcome,
                   Instant aNow) = 0;
  // Records that a server died while it ran the given requests.
  virtual void ServerDied(DeathId aDeath,
                          const ServerId& aServer,
                          const std::vector<Fingerprint>& aRunning,
                          Instant aNow) = 0;
  // Merges the records of another daemon.
  virtual void Merge(const std::vector<QuarantineRecord>& aRecords,
                     Instant aNow) = 0;
};

[[nodiscard]] std::unique_ptr<Quarantine>
MakeQuarantine(const QuarantineSettings& aSettings);

// Returns the baseline, which lets every request start.
[[nodiscard]] std::unique_ptr<Quarantine>
MakeNoQuarantine();

} // namespace bilberrytrail
