#include "list_runner.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/http_platform.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/platform/platform_json.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kListTimeout = 2s;
constexpr Duration kPeerTimeout = 1s;
// Peers asked in each period while the list is down.
constexpr std::size_t kPeersAsked = 3;
// Peers told of a leaving server; the others hear of it from the list.
constexpr std::size_t kPeersTold = 32;

Json
ToJson(const std::vector<VmEntry>& aVms)
{
  Json list = Json::array();
  for (const auto& vm : aVms) {
    list.push_back(bilberrytrail::ToJson(vm));
  }
  return list;
}

// Returns the members but for this daemon, in a random order.
std::vector<MemberRecord>
Peers(const ControlView& aView, Random& aRandom)
{
  std::vector<MemberRecord> peers = aView.mMembers;
  std::erase_if(peers, [&](const MemberRecord& aMember) {
    return aMember.mId == aView.mSelf;
  });
  for (std::size_t n = 0; n + 1 < peers.size(); ++n) {
    std::swap(peers[n], peers[n + aRandom.Below(peers.size() - n)]);
  }
  return peers;
}

} // namespace

ListRunner::ListRunner(ThreadContext& aThread,
                       ControlState& aState,
                       MembershipRunner& aMembers,
                       const DaemonSettings& aSettings)
  : mThread(aThread)
  , mState(aState)
  , mMembers(aMembers)
  , mSeeds(aSettings.mSeeds)
  , mList(MakeHttpVmList(aThread.Client(), aSettings.mList))
  , mPeriod(aSettings.mListPoll)
  , mRandom(StableHash64(aSettings.mName.Text()))
{
}

Duration
ListRunner::Age(Instant aNow) const
{
  return aNow - mReadAt;
}

Result<Json>
ListRunner::ListForPeer(const Json& aParams) const
{
  if (mDigest.empty()) {
    return Fail(ErrorCode::NotFound, "no list has been read here");
  }
  Json reply = { { "age_us", Age(MonotonicNow()).count() },
                 { "digest", mDigest },
                 { "leaving", Json::array() } };
  for (const auto& it : mState.Leaving()) {
    reply["leaving"].push_back(it.Text());
  }
  if (JsonFields(aParams).Text("digest") != mDigest) {
    reply["vms"] = ToJson(mState.Vms());
  }
  return reply;
}

void
ListRunner::Start()
{
  mMembers.Members().SetListed(mSeeds);
  mThread.GetLoop().Spawn([this] { PollAll(); });
}

Result<Json>
ListRunner::TakeLeaving(const Json& aParams)
{
  JsonFields fields(aParams);
  const ServerId server(fields.Text("server"));
  const bool isOrdered = fields.Flag("ordered");
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (isOrdered) {
    mState.SetLeaving(server);
  } else {
    mState.SetListedLeaving(server);
  }
  return Json::object();
}

void
ListRunner::OrderLeaving(const ServerId& aServer)
{
  mState.SetLeaving(aServer);
  TellPeers(aServer, true);
}

void
ListRunner::PollAll()
{
  do {
    Poll();
  } while (mThread.GetLoop().Sleep(mPeriod));
}

void
ListRunner::Poll()
{
  const auto sentAt = MonotonicNow();
  auto vms = mList->Fetch(kListTimeout);
  NoteFresh(vms.has_value());
  if (!vms) {
    AskPeers();
    return;
  }
  TellLeaving(vms.value());
  Use(std::move(vms).value(), sentAt);
}

void
ListRunner::AskPeers()
{
  auto peers = Peers(*mState.View(), mRandom);
  peers.resize(std::min(peers.size(), kPeersAsked));
  for (const auto& peer : peers) {
    mThread.GetLoop().Spawn([this, peer] { AskPeer(peer); });
  }
}

void
ListRunner::AskPeer(const MemberRecord& aPeer)
{
  const auto sentAt = MonotonicNow();
  const auto reply = mThread.Peers().Call(
    aPeer, "list.vms", { { "digest", mDigest } }, kPeerTimeout);
  if (!reply) {
    return;
  }
  JsonFields fields(reply.value());
  const Instant readAt = sentAt - Duration(fields.Unsigned("age_us"));
  const std::string digest = fields.Text("digest");
  const Json leaving = fields.List("leaving");
  if (!fields.Check()) {
    return;
  }
  for (const auto& it : leaving) {
    mState.SetLeaving(ServerId(it.is_string() ? it.get<std::string>() : ""));
  }
  if (!mDigest.empty() && readAt <= mReadAt) {
    return;
  }
  if (digest == mDigest) {
    mReadAt = readAt;
    return;
  }
  std::vector<VmEntry> vms;
  for (const auto& it : fields.List("vms")) {
    auto vm = ReadVmEntry(it);
    if (!vm) {
      return;
    }
    vms.push_back(std::move(vm).value());
  }
  Use(std::move(vms), readAt);
}

void
ListRunner::Use(std::vector<VmEntry> aVms, Instant aReadAt)
{
  mReadAt = aReadAt;
  mDigest = Sha256Hex(ToJson(aVms).dump());
  std::vector<Endpoint> daemons = mSeeds;
  for (const auto& vm : aVms) {
    if (vm.mRole == VmRole::Entry && !vm.mLeaving) {
      daemons.push_back(vm.mEndpoint);
    }
  }
  mMembers.Members().SetListed(std::move(daemons));
  mState.SetVms(std::move(aVms));
}

void
ListRunner::NoteFresh(bool aIsFresh)
{
  if (aIsFresh != mIsFresh) {
    mIsFresh = aIsFresh;
    LogLine(mIsFresh ? LogEvent::ListFresh : LogEvent::ListStale);
  }
}

void
ListRunner::TellLeaving(const std::vector<VmEntry>& aVms)
{
  const auto view = mState.View();
  for (const auto& vm : aVms) {
    const auto known = view->mServers.find(ServerId(vm.mName));
    if (vm.mLeaving && known != view->mServers.end() &&
        !known->second.mVm.mLeaving) {
      TellPeers(known->first, false);
    }
  }
}

void
ListRunner::TellPeers(const ServerId& aServer, bool aIsOrdered)
{
  auto peers = Peers(*mState.View(), mRandom);
  peers.resize(std::min(peers.size(), kPeersTold));
  const Json params = { { "server", aServer.Text() },
                        { "ordered", aIsOrdered } };
  for (const auto& peer : peers) {
    mThread.GetLoop().Spawn([this, peer, params] {
      (void)mThread.Peers().Call(peer, "list.leaving", params, kPeerTimeout);
    });
  }
}

} // namespace bilberrytrail
