#pragma once

#include <bilberrytrail/entry/server_record.h>

#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bilberrytrail {

// What the cold servers of a service take.
struct ColdBound
{
  // Requests per second that a cold server takes without falling over.
  double mPerSecond = 0;
  // Most requests in any second from all daemons together.
  double mMost = 0;
  // Time for which a server is cold after its start.
  Duration mTime{};
};

// What another daemon knows of a cold server.
struct ColdObservation
{
  ServerId mServer;
  // Time for which it stays cold; nothing while it is not known to run again.
  std::optional<Duration> mLeft;
  // When this was known.
  Instant mAt;
};

// Which servers are cold, as far as this daemon knows: they tell it in the
// table, and a server whose connections fail may be about to start again, so
// that it counts as cold from then on until it has answered for the time that a
// server is cold. Connections to a server that others reach fail for another
// reason: it answers at once, and is not cold. A server of an evacuated
// availability zone counts as cold until that time has passed since the
// evacuation. Servers of services without a bound are never cold. Not
// thread-safe.
//
//   colds.Update(view.mServers, now);
//   colds.OnLost(server, now);
//   if (const auto* bound = colds.Find(server, now)) { ... }
class ColdServers
{
public:
  // Bounds the size of the messages that carry observations.
  static constexpr std::size_t kMaxRecent = 32;

  // aOver and aSlack turn the rate that a cold server takes into the bound on
  // what all daemons send in any second.
  explicit ColdServers(double aOver = 1, double aSlack = 0) noexcept
    : mOver(aOver)
    , mSlack(aSlack)
  {
  }

  // Returns the bound of a server that is or may be cold; null for others.
  [[nodiscard]] const ColdBound* Find(const ServerId& aServer,
                                      Instant aNow) const;
  // Returns since when the server counts as cold; Find must return a bound.
  [[nodiscard]] Instant ColdSince(const ServerId& aServer) const;
  // Returns the observations that other daemons need, at most kMaxRecent.
  [[nodiscard]] std::vector<ColdObservation> Recent(Instant aNow) const;
  [[nodiscard]] std::size_t Count(Instant aNow) const;

  // Sets which services have cold servers.
  void SetServices(std::span<const BackendService> aServices);
  // Reads the servers' rows; forgets the servers without a row.
  void Update(std::span<const ServerRecord> aServers, Instant aNow);
  // Records that a server refused a connection, or broke one off.
  void OnLost(const ServerId& aServer, bool aIsRefused, Instant aNow);
  // Records that a server answered.
  void OnAnswer(const ServerId& aServer, Instant aNow);
  // Adds observations of other daemons.
  void Merge(std::span<const ColdObservation> aObservations, Instant aNow);

private:
  struct Entry
  {
    ServiceId mService;
    std::uint64_t mStartedAtMs = 0;
    // The time left in the row that was read last.
    Duration mListedLeft{};
    bool mIsEvacuated = false;
    // Its connections failed, and it has not answered since.
    bool mIsLost = false;
    // Connections that it broke off since its last answer.
    unsigned mBroken = 0;
    std::optional<Instant> mAnsweredAt;
    Instant mBrokenAt;
    // Known from another daemon only.
    bool mIsTold = false;
    Instant mLostAt;
    Instant mSince;
    Instant mUntil;

    [[nodiscard]] bool IsCold(Instant aNow) const noexcept
    {
      return mIsLost || aNow < mUntil;
    }
  };

  [[nodiscard]] const ColdBound* BoundOf(const Entry& aEntry) const;
  void Extend(const ServerId& aServer,
              Entry& aEntry,
              Instant aUntil,
              Instant aNow);
  void Lose(const ServerId& aServer, Entry& aEntry, Instant aNow);

  double mOver;
  double mSlack;
  std::map<ServiceId, ColdBound> mBounds;
  std::map<ServerId, Entry> mEntries;
};

} // namespace bilberrytrail
