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
// Identifies one death of one server, equally on every daemon.
using DeathId = Number<struct DeathTag>;

// Returns the fingerprint of a request. Requests of different products or
// client accounts have different fingerprints.
[[nodiscard]] Fingerprint
MakeFingerprint(const ProductId& aProduct,
                const AccountId& aAccount,
                std::string_view aBody);

// Returns the identifier of a server's death from a number that changes at
// each restart of the server and that all daemons observe alike.
[[nodiscard]] DeathId
MakeDeathId(const ServerId& aServer, std::uint64_t aRestarts);

// What is held of a fingerprint.
enum class QuarantineVerdict : unsigned char
{
  Clear,
  // It ran on one server that died; reruns are kept apart.
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
  // Another suspect runs on the server; take another server or wait.
  ServerBusy,
  // The same fingerprint is being rerun elsewhere; wait.
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
  // It ran to its end on a live server.
  Clean,
  // It was cancelled or its fate is not known.
  Inconclusive
};

// One death that counts against a fingerprint, as sent between daemons.
struct QuarantineRecord
{
  Fingerprint mFingerprint;
  DeathId mDeath;
  // A clean run after the death spoke the fingerprint free of it.
  bool mCleared = false;
  // Time for which the record is still in force.
  Duration mRemaining{};
};

// Sizes and times of a quarantine.
struct QuarantineSettings
{
  std::size_t mMaxFingerprints = 4096;
  // Time for which a death counts.
  Duration mLifetime = 600s;
  // Time for which an expired record is remembered, so that a late copy from
  // another daemon does not bring it back.
  Duration mGrace = 60s;
  // Longest rerun of a suspect before another may start.
  Duration mMaxRerun = 300s;
};

// Keeps requests that crash servers from taking further servers.
//
// When a server dies, each request on it becomes a suspect. A suspect is rerun
// on a server that runs no other suspect, one rerun of a fingerprint at a
// time; a second death convicts it, and a clean run frees it. Records merge in
// any order and number of times to the same state.
//
// Bound: a request whose runs follow each other, each after the records of the
// one before have arrived, takes at most two servers. Each further copy that
// was started before those records reached its daemon can take one more.
//
//   switch (quarantine->Start(fingerprint, server, now)) { ... }
//   quarantine->End(fingerprint, server, RunOutcome::Clean, now);
class Quarantine
{
public:
  virtual ~Quarantine() = default;

  [[nodiscard]] virtual QuarantineVerdict Verdict(Fingerprint aFingerprint,
                                                  Instant aNow) const = 0;
  // Returns how long the present verdict holds if nothing else happens.
  [[nodiscard]] virtual Duration Remaining(Fingerprint aFingerprint,
                                           Instant aNow) const = 0;
  // Returns all records in force, for other daemons.
  [[nodiscard]] virtual std::vector<QuarantineRecord> Export(
    Instant aNow) const = 0;
  // Returns the number of fingerprints held.
  [[nodiscard]] virtual std::size_t size() const noexcept = 0;

  // Asks to start a request on a server, and notes the run when allowed. Asked
  // at the home of the server; for a suspect also at the fingerprint's home.
  [[nodiscard]] virtual StartVerdict Start(Fingerprint aFingerprint,
                                           const ServerId& aServer,
                                           Instant aNow) = 0;
  // Notes that a run which Start() allowed has ended.
  virtual void End(Fingerprint aFingerprint,
                   const ServerId& aServer,
                   RunOutcome aEnd,
                   Instant aNow) = 0;
  // Notes that a server died while it ran the given requests.
  virtual void ServerDied(DeathId aDeath,
                          const ServerId& aServer,
                          const std::vector<Fingerprint>& aRunning,
                          Instant aNow) = 0;
  // Takes in the records of another daemon.
  virtual void Merge(const std::vector<QuarantineRecord>& aRecords,
                     Instant aNow) = 0;
};

[[nodiscard]] std::unique_ptr<Quarantine>
MakeQuarantine(const QuarantineSettings& aSettings);

// Returns the baseline, which lets every request start.
[[nodiscard]] std::unique_ptr<Quarantine>
MakeNoQuarantine();

} // namespace bilberrytrail
