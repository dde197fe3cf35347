#include "release_runner.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <utility>

namespace bilberrytrail {

namespace {

constexpr Duration kTickPeriod = 100ms;
constexpr Duration kTableTimeout = 1s;
constexpr Duration kPeerTimeout = 1s;
constexpr std::size_t kMaxProducts = 1024;
// Older releases that are read when a note's id is looked up.
constexpr std::uint64_t kReleasesLookedAt = 1000;
// Peers asked at once while the table is down.
constexpr std::size_t kPeersAsked = 3;

} // namespace

ReleaseRunner::ReleaseRunner(ThreadContext& aThread,
                             ControlState& aState,
                             MembershipRunner& aMembers,
                             const FollowerSettings& aSettings)
  : mThread(aThread)
  , mState(aState)
  , mMembers(aMembers)
  , mFollower(aSettings)
  , mRandom(StableHash64(aState.View()->mSelf.Text()))
{
}

Json
ReleaseRunner::HeadsForPeer() const
{
  Json heads = Json::array();
  for (const auto& head : mFollower.HeadsInForce()) {
    heads.push_back(ToText(head));
  }
  return { { "heads", std::move(heads) }, { "ready", mFollower.IsReady() } };
}

Result<Json>
ReleaseRunner::BodyForPeer(const Json& aParams) const
{
  JsonFields fields(aParams);
  const ProductId product(fields.Text("product"));
  const ReleaseNumber number(fields.Unsigned("number"));
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  const auto body = mFollower.InForce(product);
  if (body == nullptr || body->mState.mNumber != number) {
    return Fail(ErrorCode::NotFound, "not in force here");
  }
  return Json{ { "text", ToText(*body) } };
}

void
ReleaseRunner::Start()
{
  mMembers.OnNumber([this](const SharedNumber& aNumber) {
    const std::string prefix = ReleaseNumberName(ProductId());
    if (!aNumber.mName.starts_with(prefix)) {
      return;
    }
    const ProductId product(aNumber.mName.substr(prefix.size()));
    mFollower.OnGossipedNumber(
      product, ReleaseNumber(aNumber.mValue), MonotonicNow());
    const auto inForce = mFollower.InForce(product);
    if (inForce == nullptr ||
        inForce->mState.mNumber.Value() < aNumber.mValue) {
      mThread.GetLoop().Spawn([this] { ScanHeadRows(); });
    }
  });
  mThread.GetLoop().Spawn([this] { FollowAll(); });
}

CallResult<std::optional<ReleaseBody>>
ReleaseRunner::FindNote(const ProductId& aProduct, const std::string& aId)
{
  const auto inForce = mFollower.InForce(aProduct);
  if (inForce != nullptr && inForce->mNoteId == aId) {
    return std::optional(*inForce);
  }
  const std::uint64_t known =
    inForce == nullptr ? 0 : inForce->mState.mNumber.Value();
  // Releases that are not in force here yet, then the older ones.
  for (std::uint64_t n = known + 1;; ++n) {
    auto body = ReadRelease(aProduct, ReleaseNumber(n));
    if (!body || (body.value() && body.value()->mNoteId == aId)) {
      return body;
    }
    if (!body.value()) {
      break;
    }
  }
  const std::uint64_t oldest =
    known > kReleasesLookedAt ? known - kReleasesLookedAt : 0;
  for (std::uint64_t n = known; n > oldest + 1; --n) {
    auto body = ReadRelease(aProduct, ReleaseNumber(n - 1));
    if (!body || (body.value() && body.value()->mNoteId == aId)) {
      return body;
    }
  }
  return std::optional<ReleaseBody>();
}

CallResult<std::optional<ReleaseBody>>
ReleaseRunner::ReadRelease(const ProductId& aProduct, ReleaseNumber aNumber)
{
  auto row =
    mThread.Table().Read(ReleaseRowKey(aProduct, aNumber), kTableTimeout);
  if (!row) {
    return std::move(row).error();
  }
  if (!row.value().has_value()) {
    return std::optional<ReleaseBody>();
  }
  auto body = ReleaseBodyFromText(row.value()->mValue);
  // A row that cannot be read is some other note.
  return std::optional(body ? std::move(body).value() : ReleaseBody());
}

AppendResult
ReleaseRunner::Apply(const ReleaseNote& aNote)
{
  ReleaseAppend append(aNote);
  AppendStep step = append.Start();
  while (true) {
    if (const auto* read = std::get_if<ReadRowStep>(&step)) {
      step = append.OnRead(mThread.Table().Read(read->mKey, kTableTimeout));
    } else if (const auto* commit = std::get_if<CommitStep>(&step)) {
      step =
        append.OnCommit(mThread.Table().Commit(commit->mWrites, kTableTimeout));
    } else {
      const auto& result = std::get<AppendResult>(step);
      if (result.mOutcome == AppendOutcome::Applied) {
        mMembers.Members().RaiseNumber(ReleaseNumberName(aNote.mProduct),
                                       result.mNumber.Value());
        // The table may go down before anyone has read the rows.
        Perform(mFollower.OnBody(
          append.Written()->mHead, append.Written()->mBody, MonotonicNow()));
      }
      return result;
    }
  }
}

void
ReleaseRunner::FollowAll()
{
  do {
    Perform(mFollower.Tick(MonotonicNow()));
    UpdateReadiness();
  } while (mThread.GetLoop().Sleep(kTickPeriod));
}

void
ReleaseRunner::Perform(const FollowerActions& aActions)
{
  for (const auto& action : aActions) {
    if (std::holds_alternative<ScanHeads>(action)) {
      mThread.GetLoop().Spawn([this] { ScanHeadRows(); });
    } else if (std::holds_alternative<RequestPeerHeads>(action)) {
      mThread.GetLoop().Spawn([this] { AskPeers(); });
    } else if (const auto* fetch = std::get_if<FetchRelease>(&action)) {
      mThread.GetLoop().Spawn([this, it = *fetch] { Fetch(it); });
    } else if (const auto* notes = std::get_if<FetchNotes>(&action)) {
      mThread.GetLoop().Spawn([this, it = *notes] { ReadNotes(it); });
    } else if (const auto* inForce = std::get_if<ReleaseInForce>(&action)) {
      const ReleaseHead& head = inForce->mHead;
      LogLine(LogEvent::ReleaseInForce,
              { { "product", head.mProduct }, { "number", head.mNumber } });
      mMembers.Members().RaiseNumber(ReleaseNumberName(head.mProduct),
                                     head.mNumber.Value());
      mState.SetRelease(inForce->mBody);
    }
  }
}

void
ReleaseRunner::ScanHeadRows()
{
  const auto sentAt = MonotonicNow();
  const auto rows = mThread.Table().Scan(
    std::string(kReleaseHeadPrefix), kMaxProducts, kTableTimeout);
  NoteTable(rows.has_value());
  if (!rows) {
    Perform(mFollower.OnHeadsFailed(MonotonicNow()));
    return;
  }
  std::vector<ReleaseHead> heads;
  for (const auto& row : rows.value()) {
    auto head = ReleaseHeadFromText(row.mValue);
    if (head) {
      heads.push_back(std::move(head).value());
    }
  }
  Perform(mFollower.OnHeads(heads, sentAt));
}

void
ReleaseRunner::AskPeers()
{
  for (const auto& peer : mState.View()->RandomPeers(kPeersAsked, mRandom)) {
    mThread.GetLoop().Spawn([this, peer] {
      const auto reply = mThread.Peers().Call(
        peer, "release.heads", Json::object(), kPeerTimeout);
      if (!reply || !reply.value().value("ready", false)) {
        return;
      }
      std::vector<ReleaseHead> heads;
      for (const auto& it : reply.value()["heads"]) {
        auto head = ReleaseHeadFromText(it.is_string() ? it.get<std::string>()
                                                       : std::string());
        if (head) {
          NoteHolder(head.value(), peer);
          heads.push_back(std::move(head).value());
        }
      }
      Perform(mFollower.OnPeerHeads(peer.mId, heads, MonotonicNow()));
    });
  }
}

void
ReleaseRunner::Fetch(const FetchRelease& aFetch)
{
  if (aFetch.mFromPeers) {
    FetchFromPeers(aFetch.mHead);
    return;
  }
  const auto row = mThread.Table().Read(
    ReleaseRowKey(aFetch.mHead.mProduct, aFetch.mHead.mNumber), kTableTimeout);
  if (row && row.value().has_value()) {
    Perform(
      mFollower.OnBody(aFetch.mHead, row.value()->mValue, MonotonicNow()));
  }
}

void
ReleaseRunner::ReadNotes(const FetchNotes& aFetch)
{
  std::vector<NoteRow> notes;
  const ReleaseNumber last = aFetch.mHead.mNumber;
  for (ReleaseNumber n = aFetch.mFirst; n <= last; n = n.Next()) {
    const auto row =
      mThread.Table().Read(NoteRowKey(aFetch.mHead.mProduct, n), kTableTimeout);
    if (!row) {
      // The fetch is repeated.
      return;
    }
    // Releases of an earlier version of the daemon have no such row.
    auto note = row.value().has_value()
                  ? NoteRowFromText(row.value()->mValue)
                  : Result<NoteRow>(Fail(ErrorCode::NotFound, "no note row"));
    if (!note) {
      break;
    }
    notes.push_back(std::move(note).value());
  }
  Perform(mFollower.OnNotes(aFetch, notes, MonotonicNow()));
}

void
ReleaseRunner::NoteHolder(const ReleaseHead& aHead, const MemberRecord& aPeer)
{
  auto& holder = mHolders[aHead.mProduct];
  if (aHead.mNumber >= holder.mNumber) {
    holder = { aHead.mNumber, aPeer };
  }
}

void
ReleaseRunner::FetchFromPeers(const ReleaseHead& aHead)
{
  const Json params = { { "product", aHead.mProduct.Text() },
                        { "number", aHead.mNumber.Value() } };
  auto peers = mState.View()->RandomPeers(kPeersAsked, mRandom);
  const auto holder = mHolders.find(aHead.mProduct);
  if (holder != mHolders.end() && holder->second.mNumber >= aHead.mNumber) {
    peers.insert(peers.begin(), holder->second.mPeer);
  }
  for (const auto& peer : peers) {
    const auto reply =
      mThread.Peers().Call(peer, "release.body", params, kPeerTimeout);
    if (reply) {
      Perform(mFollower.OnBody(
        aHead, reply.value().value("text", std::string()), MonotonicNow()));
      return;
    }
  }
}

void
ReleaseRunner::NoteTable(bool aIsUp)
{
  if (mIsTableUp != aIsUp) {
    mIsTableUp = aIsUp;
    LogLine(aIsUp ? LogEvent::TableUp : LogEvent::TableDown);
  }
}

void
ReleaseRunner::UpdateReadiness()
{
  if (!mFollower.IsReady()) {
    mState.SetNotReady("the releases in force are not known yet");
    return;
  }
  if (mState.Vms().empty()) {
    mState.SetNotReady("the list of VMs is not known yet");
    return;
  }
  const auto now = MonotonicNow();
  for (const auto& head : mFollower.HeadsInForce()) {
    if (!mFollower.MayAccept(head.mProduct, now)) {
      mState.SetNotReady(
        "neither the table service nor another daemon can be reached");
      return;
    }
  }
  mState.SetNotReady({});
}

} // namespace bilberrytrail
