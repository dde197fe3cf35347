#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrytrail {

// Times of pushed server states.
struct StatePushSettings
{
  // A home sends a state again after this long without a change.
  Duration mRefreshInterval = 30s;
  // A holder treats an older state as not known.
  Duration mStateTtl = 60s;
};

// Returns whether the holder of a control shard has to hear of the change:
// versions, adapters, role, fencing number, leaving and restarts count, the
// load does not. Beside a second version it counts too whether anything runs,
// since an old version is unloaded once nothing does.
[[nodiscard]] bool
DiffersForHolder(const EngineState& aOld, const EngineState& aNew);

// The state of a server at its home, with the daemon that is to hold the
// lease of its control shard.
struct HomedState
{
  ServerId mServer;
  ProductId mProduct;
  DaemonId mHolder;
  EngineState mState;
};

// States for one holder, in one message.
struct StateBatch
{
  DaemonId mHolder;
  std::vector<HomedState> mStates;
};

// Decides at a home which states to send. A lost message only delays what the
// holder knows.
//
//   for (auto& batch : pushes.Poll(states, now)) {
//     if (!Send(batch)) { pushes.OnLost(batch); }
//   }
class StatePublisher
{
public:
  explicit StatePublisher(StatePushSettings aSettings);

  // Takes all states of the servers homed here; returns those to send, which
  // count as sent.
  [[nodiscard]] std::vector<StateBatch> Poll(
    const std::vector<HomedState>& aStates,
    Instant aNow);
  // Has the states of a batch sent again.
  void OnLost(const StateBatch& aBatch);

private:
  struct Sent
  {
    DaemonId mHolder;
    EngineState mState;
    Instant mAt;
  };

  [[nodiscard]] bool IsDue(const HomedState& aState, Instant aNow) const;

  StatePushSettings mSettings;
  std::map<ServerId, Sent> mSent;
};

// The states that a holder was sent.
class ReceivedStates
{
public:
  explicit ReceivedStates(StatePushSettings aSettings);

  // Takes a state in. Messages of one home count up; one that was overtaken by
  // a later one is dropped.
  void Update(const DaemonId& aHome,
              std::uint64_t aMessage,
              const ServerId& aServer,
              EngineState aState,
              Instant aNow);
  // Returns the last state, or nothing when it is not known any more.
  [[nodiscard]] std::optional<EngineState> Find(const ServerId& aServer,
                                                Instant aNow) const;
  // Drops the states that are not known any more.
  void RemoveExpired(Instant aNow);

private:
  struct Held
  {
    DaemonId mHome;
    std::uint64_t mMessage = 0;
    EngineState mState;
    Instant mAt;
  };

  [[nodiscard]] bool IsKnown(const Held& aHeld, Instant aNow) const;

  StatePushSettings mSettings;
  std::map<ServerId, Held> mHeld;
};

} // namespace bilberrytrail
