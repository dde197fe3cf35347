#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace bilberrytrail {

// Timing of pushed server states.
struct StatePushSettings
{
  // A home repeats a state without changes after this time.
  Duration mRefreshInterval = 30s;
  // A holder discards a state that is older than this.
  Duration mStateTtl = 60s;
};

// Returns true when the holder of a control shard needs the new state: when
// versions, adapters, role, fencing number, leaving flag or incarnation
// differ. The load is ignored, except that with more than one version a change
// between idle and running counts, since an old version is unloaded once the
// server is idle.
[[nodiscard]] bool
DiffersForHolder(const EngineState& aOld, const EngineState& aNew);

// The state of a server at its home, with the daemon that should hold the
// lease of the server's control shard.
struct HomedState
{
  ServerId mServer;
  ProductId mProduct;
  DaemonId mHolder;
  EngineState mState;
};

// The states sent to one holder in one message.
struct StateBatch
{
  DaemonId mHolder;
  std::vector<HomedState> mStates;
};

// Decides at a home which states to send to the holders. A lost message only
// delays the update of the holder.
//
//   for (auto& batch : pushes.Poll(states, now)) {
//     if (!Send(batch)) { pushes.OnLost(batch); }
//   }
class StatePublisher
{
public:
  explicit StatePublisher(StatePushSettings aSettings);

  // Returns those of aStates to send now, which then count as sent. aStates has
  // to hold the states of all servers homed here.
  [[nodiscard]] std::vector<StateBatch> Poll(
    const std::vector<HomedState>& aStates,
    Instant aNow);
  // Marks the states of a lost batch to be sent again.
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

// The server states that a holder received from homes.
class ReceivedStates
{
public:
  explicit ReceivedStates(StatePushSettings aSettings);

  // Stores a state. The message numbers of one home grow; a message that
  // arrives after a later one of the same home is dropped.
  void Update(const DaemonId& aHome,
              std::uint64_t aMessage,
              const ServerId& aServer,
              EngineState aState,
              Instant aNow);
  // Returns the last state, or nothing when there is none within mStateTtl.
  [[nodiscard]] std::optional<EngineState> Find(const ServerId& aServer,
                                                Instant aNow) const;
  // Removes the states that are older than mStateTtl.
  void RemoveExpired(Instant aNow);

private:
  struct Received
  {
    DaemonId mHome;
    std::uint64_t mMessage = 0;
    EngineState mState;
    Instant mAt;
  };

  [[nodiscard]] bool IsFresh(const Received& aReceived, Instant aNow) const;

  StatePushSettings mSettings;
  std::map<ServerId, Received> mReceived;
};

} // namespace bilberrytrail
