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
  Rejected,
  // An order without a reply has not begun: if it was not lost, it is executed
  // late.
  NotBegun
};

template<>
struct EnumNames<OrderOutcome>
{
  static constexpr std::array<std::string_view, 8> kNames{
    "accepted",    "already_done", "busy",     "fenced",
    "not_reached", "unknown",      "rejected", "not_begun"
  };
};

// The orders sent to a server for a version of its weights.
struct OrderReport
{
  // Number of attempts, including those that did not reach the server.
  std::size_t mOrders = 0;
  // Outcome of the last order or check; nothing while the first is awaited.
  std::optional<OrderOutcome> mLastOutcome;
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
  // Time from an accepted order until the server is first asked whether it has
  // loaded, before any load was seen to end; then a share of the average time
  // of a load, at least mMinLoadCheck.
  Duration mFirstLoadCheck = 700ms;
  Duration mMinLoadCheck = 200ms;
  double mLoadCheckShare = 0.9;
  // Time until it is asked again.
  Duration mLoadRecheck = 250ms;
  // Time for which a server that said it has loaded is not ordered again while
  // the table of servers does not show it.
  Duration mTableLag = 3s;
  // Pause before the next order to a server after an order that was not
  // accepted.
  Duration mRetryPause = 700ms;
  // Pause after a lost reply: the order may be executed late, which then shows
  // in the table of servers.
  Duration mUnknownPause = 2500ms;
  // Minimum time between two orders that repeat one without a reply, on
  // average: the pause gets longer while many servers send no reply.
  Duration mResendSpacing = 10ms;
  // Time from a lost reply until the server is asked whether it has begun.
  Duration mCheckPause = 500ms;
  // Time that an order without a reply may take until it is executed.
  Duration mLateTime = 12s;
  // Time from an order until it is known that no reply comes.
  Duration mReplyTime = 700ms;
  // Time for which orders are expected to be executed late after one was.
  Duration mLateMemory = 30s;
};

// Decides which servers load new weights next. Servers that are leaving get no
// orders; only a few load at a time, so that the others serve. Level-triggered:
// it compares the table of servers with the newest weights, so another daemon
// can continue it without its state.
//
// A server that accepted its order is asked whether it has loaded, since the
// table tells that late: the next server loads, and this one serves, at once.
//
// A server that was ordered and has not answered is asked whether it has begun.
// If not, orders are executed late: they then hold up no other server, and all
// servers are ordered early enough for the longest delay.
//
//   for (const auto& order : rollout.Next(servers, weights, left, now)) {
//     rollout.OnOutcome(order, Send(order), now);
//   }
//   for (const auto& order : rollout.Checks(now)) {
//     rollout.OnOutcome(order, Check(order), now);
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

  // Returns the servers that load, as far as known, or have just been ordered
  // to.
  [[nodiscard]] std::set<ServerId> Loading(Instant aNow) const;

  // Returns the orders to send now and records them as sent. All servers should
  // have the newest weights after aTimeLeft.
  [[nodiscard]] std::vector<WeightOrder> Next(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights,
    Duration aTimeLeft,
    Instant aNow);
  // Returns the orders whose servers are to be asked now whether they have
  // loaded or, without a reply, whether they have begun.
  [[nodiscard]] std::vector<WeightOrder> Checks(Instant aNow);
  // Records the outcome of an order or of a check.
  void OnOutcome(const WeightOrder& aOrder,
                 OrderOutcome aOutcome,
                 Instant aNow);
  // Returns whether a server has accepted its order and not said more.
  [[nodiscard]] bool IsAccepted(const ServerId& aServer) const;
  // Returns the orders sent to a server, for the log.
  [[nodiscard]] OrderReport ReportOf(const ServerId& aServer) const;
  // Returns the average time from an accepted order until its server said that
  // it has loaded; nothing before the first one.
  [[nodiscard]] std::optional<Duration> LoadTime() const noexcept
  {
    return mMeanLoad;
  }
  // Forgets all orders, when the lease is lost.
  void Clear() noexcept;

private:
  enum class Phase : unsigned char
  {
    // Pause before the next order.
    Paused,
    // The reply is awaited.
    Sent,
    // The server loads the weights that were ordered.
    Accepted,
    // The server executes an order, perhaps an earlier one.
    Busy,
    // The reply was lost; the server has not been asked yet.
    Lost,
    // The reply was lost, and the server had not begun when it was asked.
    Unconfirmed
  };

  // The last order to a server.
  struct Entry
  {
    WeightOrder mOrder;
    // The server's version and start when it was ordered.
    std::uint64_t mHadVersion = 0;
    std::uint64_t mStartedAtMs = 0;
    Phase mPhase = Phase::Paused;
    // No further order is sent to the server before.
    Instant mUntil;
    std::optional<Instant> mCheckAt;
    std::optional<Instant> mBusySince;
    Instant mAcceptedAt;
    std::size_t mAttempts = 0;
    std::optional<OrderOutcome> mLastOutcome;
    bool mIsListed = true;
  };

  // A server that lacks weights and may be ordered now.
  struct Candidate
  {
    const ServerRecord* mServer = nullptr;
    ModelId mModel;
    std::uint64_t mNewest = 0;
    // Newest version less the server's.
    std::uint64_t mLag = 0;
    std::size_t mAttempts = 0;
    // The server counts as loading already.
    bool mHoldsPlace = false;
  };

  // Returns whether orders are executed late.
  [[nodiscard]] bool IsLate(Instant aNow) const noexcept;
  // Returns whether the server counts as loading.
  [[nodiscard]] bool HoldsPlace(const Entry& aEntry,
                                Instant aNow) const noexcept;
  [[nodiscard]] std::size_t MaxConcurrent(std::size_t aServers) const noexcept;
  [[nodiscard]] std::size_t ConcurrencyLimit(std::size_t aServers,
                                             std::size_t aPending,
                                             Duration aTimeLeft) const noexcept;
  [[nodiscard]] std::size_t LateLimit(std::size_t aServers,
                                      std::size_t aUnordered,
                                      Duration aTimeLeft) const noexcept;
  [[nodiscard]] static bool IsVoid(
    const Entry& aEntry,
    const ServerRecord& aServer,
    const std::map<ModelId, std::uint64_t>& aWeights);
  void DropFinished(std::span<const ServerRecord> aServers,
                    const std::map<ModelId, std::uint64_t>& aWeights);
  [[nodiscard]] std::vector<Candidate> Candidates(
    std::span<const ServerRecord> aServers,
    const std::map<ModelId, std::uint64_t>& aWeights,
    Instant aNow) const;
  [[nodiscard]] WeightOrder Record(const Candidate& aCandidate, Instant aNow);
  // Records what a server that accepted its order says of it.
  void OnLoadCheck(Entry& aEntry, OrderOutcome aOutcome, Instant aNow);

  const WeightRolloutSettings mSettings;
  std::map<ServerId, Entry> mOrders;
  Instant mLateUntil;
  // Number of servers that have sent no reply, at the last step.
  std::size_t mWithoutReply = 0;
  std::optional<Duration> mMeanLoad;
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

  // Returns whether this daemon should request or hold the lease. A holder
  // holds on when more weights are named within the hold time, whatever its
  // rank.
  [[nodiscard]] bool IsWanted(std::size_t aRank,
                              std::size_t aPending,
                              bool aIsHolder,
                              Instant aNow);

private:
  std::optional<Instant> mPendingSince;
  std::optional<Instant> mPendingUntil;
  std::size_t mLastPending = 0;
};

} // namespace bilberrytrail
