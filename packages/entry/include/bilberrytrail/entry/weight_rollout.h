#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/server_record.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// An order to load a version of a model's weights.
struct WeightOrder
{
  ServerId mServer;
  Endpoint mEndpoint;
  ModelId mModel;
  std::uint64_t mVersion = 0;
};

// What became of an order.
enum class OrderOutcome : unsigned char
{
  // The server carries it out.
  Accepted,
  // The server has the version already.
  AlreadyDone,
  // Another order is under way, or was since the server was asked.
  Busy,
  // The server knows a higher fencing number.
  Fenced,
  // Another server has the address, or the server cannot be reached.
  NotReached,
  // The reply was lost: the order may be carried out, also late.
  Unknown,
  // The server does not know the version, or not the order.
  Rejected
};

template<>
struct EnumNames<OrderOutcome>
{
  static constexpr std::array<std::string_view, 7> kNames{
    "accepted",    "already_done", "busy",    "fenced",
    "not_reached", "unknown",      "rejected"
  };
};

// Times and bounds of a roll.
struct WeightRolloutSettings
{
  // Servers under order at once while there is time, and the most when there
  // is not: those that finish their requests or load serve nobody. The most is
  // the larger of a number and a share of the servers.
  std::size_t mMinConcurrent = 2;
  std::size_t mMaxConcurrent = 4;
  double mMaxShare = 1.0 / 3;
  // Time that a server takes from the order to the new weights.
  Duration mLoadTime = 2400ms;
  // An accepted order that shows no effect for so long is sent again.
  Duration mOrderTimeout = 8s;
  // Pause before a server is ordered again after an order that did not take.
  Duration mRetryPause = 700ms;
  // Pause after a lost reply: the order may be carried out late, and then
  // shows in the list of servers.
  Duration mUnknownPause = 2500ms;
};

// Decides which servers load new weights next. Servers that leave are left
// alone; few load at a time, so that the rest serve. Level-triggered: it
// compares the list of servers with the newest weights, and forgets nothing of
// importance when it is made anew on another daemon.
//
//   for (const auto& order : roll.Next(servers, weights, now)) {
//     roll.OnOutcome(order, Send(order), now);
//   }
class WeightRollout
{
public:
  explicit WeightRollout(const WeightRolloutSettings& aSettings) noexcept
    : mSettings(aSettings)
  {
  }

  // Returns how many servers lack the newest weights.
  [[nodiscard]] static std::size_t Pending(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights);

  // Returns the servers under order.
  [[nodiscard]] std::set<ServerId> Loading() const;

  // Returns the orders to send now and counts them as under way. All servers
  // are to have the newest weights after aTimeLeft.
  [[nodiscard]] std::vector<WeightOrder> Next(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights,
    Duration aTimeLeft,
    Instant aNow);
  void OnOutcome(const WeightOrder& aOrder,
                 OrderOutcome aOutcome,
                 Instant aNow);
  // Forgets the orders under way, when the lease is lost.
  void Clear() noexcept { mOrders.clear(); }

private:
  // An order under way, or the pause behind one.
  struct Entry
  {
    std::uint64_t mVersion = 0;
    bool mInProgress = false;
    Instant mUntil;
  };

  [[nodiscard]] std::size_t InProgress() const noexcept;
  [[nodiscard]] std::size_t ConcurrencyLimit(std::size_t aServers,
                                             std::size_t aPending,
                                             Duration aTimeLeft) const noexcept;
  void DropFinished(std::span<const ServerRecord> aServers, Instant aNow);

  const WeightRolloutSettings mSettings;
  std::map<ServerId, Entry> mOrders;
};

// Decides when a daemon asks for the lease of the roll. Several ask, so that
// each knows for how long a holder has been silent; they begin one after the
// other by rank, so that the first has the lease before the others try to take
// it. The daemons behind them ask when the roll makes no progress.
class RolloutCandidacy
{
public:
  // Daemons that ask at once; more than fail together, and few enough that
  // their reads of the lease stay a small part of the site's calls.
  static constexpr std::size_t kCandidates = 8;
  // Time without a server that got newer weights, many times that of a load,
  // behind which all ask.
  static constexpr Duration kStallTimeout = 4s;
  // Time between the beginnings of two ranks, and the most for any rank.
  static constexpr Duration kRankDelay = 150ms;
  static constexpr Duration kMaxRankDelay = 1500ms;
  // The lease is kept for so long behind the last pending server, so that the
  // orders of two holders in a row are apart.
  static constexpr Duration kLeaseHoldTime = 3500ms;

  // Returns whether this daemon asks for the lease, or keeps it.
  [[nodiscard]] bool IsWanted(std::size_t aRank,
                              std::size_t aPending,
                              Instant aNow);

private:
  std::optional<Instant> mPendingSince;
  std::optional<Instant> mPendingUntil;
  std::size_t mLastPending = 0;
};

} // namespace bilberrytrail
