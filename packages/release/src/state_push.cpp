#include <bilberrytrail/release/state_push.h>

#include <set>
#include <utility>

namespace bilberrytrail {

bool
DiffersForHolder(const EngineState& aOld, const EngineState& aNew)
{
  const bool isIdleChanged = (aOld.mRunning == 0) != (aNew.mRunning == 0);
  return aOld.mVersions != aNew.mVersions || aOld.mAdapters != aNew.mAdapters ||
         aOld.mRole != aNew.mRole ||
         aOld.mHighestFencing != aNew.mHighestFencing ||
         aOld.mLeaving != aNew.mLeaving ||
         aOld.mIncarnation != aNew.mIncarnation ||
         (aNew.mVersions.size() > 1 && isIdleChanged);
}

StatePublisher::StatePublisher(StatePushSettings aSettings)
  : mSettings(aSettings)
{
}

bool
StatePublisher::IsDue(const HomedState& aState, Instant aNow) const
{
  const auto it = mSent.find(aState.mServer);
  return it == mSent.end() || it->second.mHolder != aState.mHolder ||
         aNow >= it->second.mAt + mSettings.mRefreshInterval ||
         DiffersForHolder(it->second.mState, aState.mState);
}

std::vector<StateBatch>
StatePublisher::Poll(const std::vector<HomedState>& aStates, Instant aNow)
{
  std::map<DaemonId, StateBatch> batches;
  std::set<ServerId> homed;
  for (const auto& state : aStates) {
    homed.insert(state.mServer);
    if (IsDue(state, aNow)) {
      auto& batch = batches[state.mHolder];
      batch.mHolder = state.mHolder;
      batch.mStates.push_back(state);
      mSent[state.mServer] = { state.mHolder, state.mState, aNow };
    }
  }
  std::erase_if(
    mSent, [&](const auto& aEntry) { return !homed.contains(aEntry.first); });
  std::vector<StateBatch> result;
  result.reserve(batches.size());
  for (auto& [holder, batch] : batches) {
    result.push_back(std::move(batch));
  }
  return result;
}

void
StatePublisher::OnLost(const StateBatch& aBatch)
{
  for (const auto& state : aBatch.mStates) {
    mSent.erase(state.mServer);
  }
}

ReceivedStates::ReceivedStates(StatePushSettings aSettings)
  : mSettings(aSettings)
{
}

bool
ReceivedStates::IsFresh(const Received& aReceived, Instant aNow) const
{
  return aNow - aReceived.mAt <= mSettings.mStateTtl;
}

void
ReceivedStates::Update(const DaemonId& aHome,
                       std::uint64_t aMessage,
                       const ServerId& aServer,
                       EngineState aState,
                       Instant aNow)
{
  Received& received = mReceived[aServer];
  if (received.mHome == aHome && aMessage < received.mMessage) {
    return;
  }
  received = { aHome, aMessage, std::move(aState), aNow };
}

std::optional<EngineState>
ReceivedStates::Find(const ServerId& aServer, Instant aNow) const
{
  const auto it = mReceived.find(aServer);
  if (it == mReceived.end() || !IsFresh(it->second, aNow)) {
    return std::nullopt;
  }
  return it->second.mState;
}

void
ReceivedStates::RemoveExpired(Instant aNow)
{
  std::erase_if(mReceived, [&](const auto& aEntry) {
    return !IsFresh(aEntry.second, aNow);
  });
}

} // namespace bilberrytrail
