#include "server_monitor.h"

#include <bilberrytrail/base/log.h>

namespace bilberrytrail {

namespace {

constexpr Duration kCallTimeout = 1s;
// Engines are asked to report on change and at least this often.
constexpr Duration kReportWithin = 2s;
// Longest silence of an engine.
constexpr Duration kEventTimeout = 5s;
constexpr Duration kReconnectPause = 200ms;

} // namespace

EventOrder
OrderOf(std::uint64_t aLast, std::uint64_t aSequence) noexcept
{
  if (aLast == 0) {
    return EventOrder::Next;
  }
  if (aSequence <= aLast) {
    return EventOrder::Restart;
  }
  return aSequence == aLast + 1 ? EventOrder::Next : EventOrder::Gap;
}

ServerMonitor::ServerMonitor(ThreadContext& aThread,
                             ControlState& aState,
                             HomeService& aHomes)
  : mThread(aThread)
  , mState(aState)
  , mHomes(aHomes)
{
}

void
ServerMonitor::OnView(const ControlView& aView)
{
  for (const auto& [id, server] : aView.mServers) {
    if (server.mVm.mRole == VmRole::Engine && server.mHome == aView.mSelf &&
        mFollowed.insert(id).second) {
      LogLine(LogEvent::HomeGained, { { "server", id } });
      mThread.GetLoop().Spawn([this, it = id] { Follow(it); });
    }
  }
}

bool
ServerMonitor::IsHomedHere(const ServerId& aServer) const
{
  const auto view = mState.View();
  const auto it = view->mServers.find(aServer);
  return it != view->mServers.end() && it->second.mHome == view->mSelf;
}

void
ServerMonitor::Follow(const ServerId& aServer)
{
  std::uint64_t sequence = 0;
  while (IsHomedHere(aServer)) {
    const auto server = mHomes.Find(aServer);
    if (server == nullptr) {
      break;
    }
    FollowStream(*server, sequence);
    if (!mThread.GetLoop().Sleep(kReconnectPause)) {
      return;
    }
  }
  mFollowed.erase(aServer);
  LogLine(LogEvent::HomeLost, { { "server", aServer } });
}

void
ServerMonitor::FollowStream(HomedServer& aServer, std::uint64_t& aSequence)
{
  auto& engine = mThread.EngineAt(aServer.Vm().mEndpoint);
  auto state = engine.ReadState(kCallTimeout);
  if (!state) {
    aServer.NoteRefusal(MonotonicNow());
    return;
  }
  aServer.SetState(std::move(state).value());
  auto stream = engine.Subscribe(aSequence, kReportWithin, kCallTimeout);
  if (!stream) {
    return;
  }
  while (IsHomedHere(ServerId(aServer.Vm().mName)) && mHomes.Holds(aServer)) {
    auto event = stream.value()->Next(kEventTimeout);
    if (!event) {
      return;
    }
    TakeEvent(aServer, std::move(event).value(), aSequence);
  }
}

void
ServerMonitor::TakeEvent(HomedServer& aServer,
                         EngineEvent aEvent,
                         std::uint64_t& aSequence)
{
  const ServerId id(aServer.Vm().mName);
  switch (OrderOf(aSequence, aEvent.mSequence)) {
    case EventOrder::Next:
      break;
    case EventOrder::Gap:
      mHomes.Cache().NoteEvicted(id, aServer.ForgetDoubtful());
      break;
    case EventOrder::Restart:
      mHomes.Cache().NoteEvicted(id, aServer.ForgetResident());
      break;
  }
  aSequence = aEvent.mSequence;
  switch (aEvent.mKind) {
    case EngineEventKind::Load:
      if (aEvent.mState) {
        aServer.SetState(*std::move(aEvent.mState));
      }
      break;
    case EngineEventKind::BlockCached:
      aServer.NoteCached(aEvent.mBlocks);
      mHomes.Cache().NoteCached(id, aEvent.mBlocks);
      break;
    case EngineEventKind::BlockEvicted:
      aServer.NoteEvicted(aEvent.mBlocks);
      mHomes.Cache().NoteEvicted(id, aEvent.mBlocks);
      break;
  }
}

} // namespace bilberrytrail
