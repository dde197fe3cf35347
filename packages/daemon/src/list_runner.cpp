#include "list_runner.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/membership/list_readers.h>
#include <bilberrytrail/platform/http_platform.h>

#include <algorithm>

namespace bilberrytrail {

namespace {

constexpr Duration kTickPeriod = 100ms;
constexpr Duration kListTimeout = 2s;
constexpr Duration kPeerTimeout = 1s;
// Peers asked in each period while the list is down.
constexpr std::size_t kPeersAsked = 3;

ListTimes
MakeTimes(const DaemonSettings& aSettings)
{
  ListTimes times;
  times.mPollInterval = aSettings.mListPoll;
  times.mSilenceTimeout = aSettings.mListSilence;
  times.mCheckInterval = aSettings.mListCheck;
  return times;
}

ListSenderSettings
MakeSenderSettings(const DaemonSettings& aSettings)
{
  ListSenderSettings settings;
  settings.mHeartbeatInterval = aSettings.mListHeartbeat;
  return settings;
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
  , mFreshTime(aSettings.mListSilence / 2)
  , mList(MakeHttpVmList(aThread.Client(), aSettings.mList))
  , mFollower(MakeTimes(aSettings))
  , mFanout(aThread, aState, mFollower, MakeSenderSettings(aSettings))
  , mNews(aThread, aState)
  , mRandom(StableHash64(aSettings.mName.Text()))
{
}

Duration
ListRunner::Age(Instant aNow) const
{
  return aNow - mFollower.Span().mFrom;
}

Result<Json>
ListRunner::ListForPeer(const Json& aParams) const
{
  if (mFollower.Digest().empty()) {
    return Fail(ErrorCode::NotFound, "no list has been read here");
  }
  const Instant now = MonotonicNow();
  Json reply = { { "age_us", Age(now).count() },
                 { "to_age_us", (now - mFollower.Span().mTo).count() },
                 { "digest", mFollower.Digest() },
                 { "tag", mFollower.Tag() },
                 { "leaving", Json::array() },
                 { "words", Json::array() } };
  for (const auto& it : mState.Leaving()) {
    reply["leaving"].push_back(it.Text());
  }
  for (const auto& it : mState.Words(now)) {
    reply["words"].push_back(ToJson(it));
  }
  if (JsonFields(aParams).Text("digest") != mFollower.Digest()) {
    reply["vms"] = ToJson(mFollower.Vms());
  }
  return reply;
}

void
ListRunner::Start()
{
  mMembers.Members().SetListed(mSeeds);
  mThread.GetLoop().Spawn([this] { PollAll(); });
  mThread.GetLoop().Spawn([this] { SendAll(); });
}

Result<Json>
ListRunner::TakeChanges(const Json& aParams)
{
  const Instant now = MonotonicNow();
  const auto news = ReadListNews(aParams, now);
  if (!news) {
    return news.error();
  }
  Perform(mFollower.OnUpdate(news.value(), now));
  return Json{ { "digest", mFollower.Digest() },
               { "clock_us", now.time_since_epoch().count() } };
}

Result<Json>
ListRunner::TakeLeaving(const Json& aParams)
{
  return mNews.Take(aParams);
}

void
ListRunner::OrderLeaving(const ServerId& aServer)
{
  mState.SetLeaving(aServer);
  const auto view = mState.View();
  const auto known = view->mServers.find(aServer);
  if (known != view->mServers.end()) {
    mNews.Tell({ aServer.Text(), known->second.mVm.mEndpoint, {} }, true);
  }
}

void
ListRunner::PollAll()
{
  do {
    mFollower.SetReader(IsReader());
    if (mFollower.MustRead(MonotonicNow())) {
      Read();
    }
  } while (mThread.GetLoop().Sleep(kTickPeriod));
}

void
ListRunner::SendAll()
{
  do {
    const Instant now = MonotonicNow();
    const bool isFresh = now - mFollower.Span().mTo <= mFreshTime;
    mFanout.Send(IsReader() && isFresh, now);
  } while (mThread.GetLoop().Sleep(kTickPeriod));
}

bool
ListRunner::IsReader() const
{
  const auto view = mState.View();
  const auto readers = ListReadersOf(view->mZone, view->mHomes);
  return std::find(readers.begin(), readers.end(), view->mSelf) !=
         readers.end();
}

void
ListRunner::Read()
{
  const Instant sentAt = MonotonicNow();
  const auto answer = mList->Fetch(mFollower.Tag(), kListTimeout);
  NoteFresh(answer.has_value());
  if (!answer) {
    mFollower.OnReadFailed(sentAt);
    AskPeers();
    return;
  }
  const auto action =
    mFollower.OnRead(answer.value(), { sentAt, MonotonicNow() });
  if (std::holds_alternative<UseList>(action)) {
    TellLeaving();
  }
  Perform(action);
}

void
ListRunner::AskPeers()
{
  for (const auto& peer : mState.View()->RandomPeers(kPeersAsked, mRandom)) {
    mThread.GetLoop().Spawn([this, peer] { AskPeer(peer); });
  }
}

void
ListRunner::AskPeer(const MemberRecord& aPeer)
{
  const Instant sentAt = MonotonicNow();
  const auto reply = mThread.Peers().Call(
    aPeer, "list.vms", { { "digest", mFollower.Digest() } }, kPeerTimeout);
  if (!reply) {
    return;
  }
  const Instant answeredAt = MonotonicNow();
  JsonFields fields(reply.value());
  // The peer measured the ages somewhere between the two moments.
  const ReadSpan span{ sentAt - Duration(fields.Unsigned("age_us")),
                       answeredAt - Duration(fields.Unsigned("to_age_us")) };
  const std::string digest = fields.Text("digest");
  const std::string tag = fields.Text("tag");
  if (!fields.Check()) {
    return;
  }
  TakeWords(reply.value());
  if (!fields.Has("vms")) {
    mFollower.OnSameList(digest, span);
    return;
  }
  auto vms = ReadVmEntries(fields.List("vms"));
  if (vms) {
    Perform(mFollower.OnWholeList(std::move(vms).value(), tag, span));
  }
}

void
ListRunner::TakeWords(const Json& aReply)
{
  JsonFields fields(aReply);
  for (const auto& it : fields.List("leaving")) {
    if (it.is_string()) {
      mState.SetLeaving(ServerId(it.get<std::string>()));
    }
  }
  for (const auto& it : fields.List("words")) {
    const auto word = ReadLeavingWord(it);
    if (word) {
      mState.HearLeaving(word.value(), MonotonicNow());
    }
  }
}

void
ListRunner::Perform(const ListAction& aAction)
{
  if (std::holds_alternative<UseList>(aAction)) {
    Use();
  } else if (const auto* whole = std::get_if<FetchWholeList>(&aAction)) {
    const auto view = mState.View();
    const auto* peer = view->FindMember(whole->mReader);
    if (peer != nullptr) {
      mThread.GetLoop().Spawn([this, it = *peer] { AskPeer(it); });
    }
  }
}

void
ListRunner::Use()
{
  std::vector<Endpoint> daemons = mSeeds;
  for (const auto& vm : mFollower.Vms()) {
    if (vm.mRole == VmRole::Entry && !vm.mLeaving) {
      daemons.push_back(vm.mEndpoint);
    }
  }
  mMembers.Members().SetListed(std::move(daemons));
  mState.SetVms(mFollower.Vms(), MonotonicNow());
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
ListRunner::TellLeaving()
{
  const auto view = mState.View();
  for (const auto& vm : mFollower.Vms()) {
    const auto known = view->mServers.find(ServerId(vm.mName));
    if (vm.mLeaving && known != view->mServers.end() &&
        !known->second.mVm.mLeaving) {
      mNews.Tell({ vm.mName, vm.mEndpoint, mState.LeavingHold() }, false);
    }
  }
}

} // namespace bilberrytrail
