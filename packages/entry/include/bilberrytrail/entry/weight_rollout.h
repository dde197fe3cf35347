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

// Outcome of an order.
enum class OrderOutcome : unsigned char
{
  // The server executes it.
  Accepted,
  // The server has already loaded the version.
  AlreadyDone,
  // The server runs another order, or accepted one after its state was read.
  Busy,
  // The server knows a higher fencing number.
  Fenced,
  // The server is unreachable, or another one has its address.
  NotReached,
  // The reply was lost: the order may still be executed, even late.
  Unknown,
  // The server does not know the version or the order.
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

// Limits of a rollout.
struct WeightRolloutSettings
{
  // Minimum and maximum number of servers that load at once: servers that drain
  // or load serve no requests. The number rises from the minimum as the
  // deadline gets closer. The maximum is the larger of mMaxConcurrent and
  // mMaxShare of the servers.
  std::size_t mMinConcurrent = 2;
  std::size_t mMaxConcurrent = 4;
  double mMaxShare = 1.0 / 3;
  // Time that a server takes from the order until the new weights are loaded.
  Duration mLoadTime = 2400ms;
  // An accepted order without a visible effect after this time is sent again.
  Duration mOrderTimeout = 8s;
  // Pause before the next order to a server after an order that was not
  // accepted.
  Duration mRetryPause = 700ms;
  // Pause after a lost reply: the order may be executed late, which then shows
  // in the table of servers.
  Duration mUnknownPause = 2500ms;
};

// Decides which servers load new weights next. Servers that are leaving get no
// orders; only a few load at a time, so that the others serve. Level-triggered:
// it compares the table of servers with the newest weights, so another daemon
// can continue it without its state.
//
//   for (const auto& order : rollout.Next(servers, weights, now)) {
//     rollout.OnOutcome(order, Send(order), now);
//   }
class WeightRollout
{
public:
  explicit WeightRollout(const WeightRolloutSettings& aSettings) noexcept
    : mSettings(aSettings)
  {
  }

  // Returns the number of servers without the newest weights.
  [[nodiscard]] static std::size_t Pending(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights);

  // Returns the servers with an order in progress.
  [[nodiscard]] std::set<ServerId> Loading() const;

  // Returns the orders to send now and records them as in progress. All servers
  // should have the newest weights after aTimeLeft.
  [[nodiscard]] std::vector<WeightOrder> Next(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights,
    Duration aTimeLeft,
    Instant aNow);
  void OnOutcome(const WeightOrder& aOrder,
                 OrderOutcome aOutcome,
                 Instant aNow);
  // Drops the orders in progress, when the lease is lost.
  void Clear() noexcept { mOrders.clear(); }

private:
  // An order in progress, or the pause after one.
  struct Entry
  {
    ModelId mModel;
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

// Decides when a daemon requests the lease of the rollout. Several candidates
// do, so that each can tell how long a holder has been silent; they start
// staggered by rank, so that the first one has the lease before the others try
// to take it. The other daemons stand by and request it when the rollout makes
// no progress.
class RolloutCandidacy
{
public:
  // Number of candidates: more than fail together, and few enough that their
  // reads of the lease are a small part of the site's calls.
  static constexpr std::size_t kCandidates = 8;
  // Time without progress after which the standby daemons request the lease
  // too; many times the load time of a server.
  static constexpr Duration kStallTimeout = 4s;
  // Delay per rank before a daemon requests the lease, and the longest delay.
  static constexpr Duration kRankDelay = 150ms;
  static constexpr Duration kMaxRankDelay = 1500ms;
  // Time for which the lease is held after the last pending server, so that
  // orders of two successive holders are apart.
  static constexpr Duration kLeaseHoldTime = 3500ms;

  // Returns whether this daemon should request or hold the lease.
  [[nodiscard]] bool IsWanted(std::size_t aRank,
                              std::size_t aPending,
                              Instant aNow);

private:
  std::optional<Instant> mPendingSince;
  std::optional<Instant> mPendingUntil;
  std::size_t mLastPending = 0;
};

} // namespace bilberrytrail
