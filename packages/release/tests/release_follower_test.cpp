#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/release/release_follower.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ProductId kProduct("brotlag");
const DaemonId kPeerA("a");
const DaemonId kPeerB("b");
constexpr FollowerSettings kSettings;

struct Release
{
  ReleaseHead mHead;
  std::string mText;
};

Release
MakeRelease(std::uint64_t aNumber)
{
  ReleaseBody body;
  body.mNoteId = "note-" + std::to_string(aNumber);
  body.mState.mProduct = kProduct;
  body.mState.mNumber = ReleaseNumber(aNumber);
  const std::string text = ToText(body);
  return { { kProduct, ReleaseNumber(aNumber), body.mNoteId, Sha256Hex(text) },
           text };
}

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

template<class T>
const T*
Find(const FollowerActions& aActions)
{
  for (const auto& it : aActions) {
    if (const auto* found = std::get_if<T>(&it)) {
      return found;
    }
  }
  return nullptr;
}

std::uint64_t
InForce(const ReleaseFollower& aFollower)
{
  const auto body = aFollower.InForce(kProduct);
  return body == nullptr ? 0 : body->mState.mNumber.Value();
}

// Returns a follower with release aNumber, read from the table, in force.
ReleaseFollower
MakeFollower(std::uint64_t aNumber, Instant aNow)
{
  ReleaseFollower follower(kSettings);
  const Release release = MakeRelease(aNumber);
  (void)follower.OnHeads({ release.mHead }, aNow);
  (void)follower.OnBody(release.mHead, release.mText, aNow);
  REQUIRE(follower.IsReady());
  return follower;
}

} // namespace

TEST_CASE("a starting daemon is ready once the table's heads are in force")
{
  ReleaseFollower follower(kSettings);
  CHECK_FALSE(follower.IsReady());
  CHECK(Find<ScanHeads>(follower.Tick(At(0s))) != nullptr);
  CHECK(Find<ScanHeads>(follower.Tick(At(1s))) == nullptr);
  const Release release = MakeRelease(3);
  const auto actions = follower.OnHeads({ release.mHead }, At(1s));
  const auto* fetch = Find<FetchRelease>(actions);
  REQUIRE(fetch != nullptr);
  CHECK_FALSE(fetch->mFromPeers);
  CHECK_FALSE(follower.IsReady());
  CHECK_FALSE(follower.MayAccept(kProduct, At(1s)));
  CHECK(Find<ReleaseInForce>(
          follower.OnBody(release.mHead, release.mText, At(1s))) != nullptr);
  CHECK(follower.IsReady());
  CHECK(follower.MayAccept(kProduct, At(1s)));
  CHECK_FALSE(follower.MayAccept(ProductId("other"), At(1s)));
}

TEST_CASE(
  "a daemon is ready after several peers answered while the table is down")
{
  ReleaseFollower follower(kSettings);
  CHECK(Find<RequestPeerHeads>(follower.OnHeadsFailed(At(0s))) != nullptr);
  const Release old = MakeRelease(2);
  const Release current = MakeRelease(3);
  (void)follower.OnPeerHeads(kPeerA, { old.mHead }, At(0s));
  (void)follower.OnBody(old.mHead, old.mText, At(0s));
  (void)follower.OnPeerHeads(kPeerA, { old.mHead }, At(0s));
  (void)follower.OnPeerHeads(DaemonId("new"), {}, At(0s));
  CHECK_FALSE(follower.IsReady());
  CHECK_FALSE(follower.MayAccept(kProduct, At(0s)));
  const auto actions = follower.OnPeerHeads(kPeerB, { current.mHead }, At(0s));
  const auto* fetch = Find<FetchRelease>(actions);
  REQUIRE(fetch != nullptr);
  CHECK(fetch->mFromPeers);
  CHECK(fetch->mHead == current.mHead);
  CHECK_FALSE(follower.IsReady());
  (void)follower.OnBody(current.mHead, current.mText, At(0s));
  CHECK(follower.IsReady());
  CHECK(InForce(follower) == 3);
}

TEST_CASE(
  "a lower number or a body with another hash never replaces the release")
{
  ReleaseFollower follower = MakeFollower(5, At(0s));
  const Release old = MakeRelease(4);
  const Release next = MakeRelease(6);
  (void)follower.OnHeads({ old.mHead }, At(1s));
  CHECK(follower.OnBody(old.mHead, old.mText, At(1s)).empty());
  (void)follower.OnHeads({ next.mHead }, At(1s));
  CHECK(follower.OnBody(next.mHead, next.mText + " ", At(1s)).empty());
  CHECK(follower.OnBody(next.mHead, old.mText, At(1s)).empty());
  ReleaseHead forged = next.mHead;
  forged.mHash = Sha256Hex(old.mText);
  CHECK(follower.OnBody(forged, old.mText, At(1s)).empty());
  CHECK(InForce(follower) == 5);
  CHECK_FALSE(follower.OnBody(next.mHead, next.mText, At(1s)).empty());
  CHECK(InForce(follower) == 6);
}

TEST_CASE("a newer number received by gossip triggers a scan at once")
{
  ReleaseFollower follower = MakeFollower(5, At(0s));
  (void)follower.Tick(At(0s));
  CHECK(Find<ScanHeads>(follower.Tick(At(100ms))) == nullptr);
  follower.OnGossipedNumber(kProduct, ReleaseNumber(5), At(200ms));
  CHECK(Find<ScanHeads>(follower.Tick(At(200ms))) == nullptr);
  follower.OnGossipedNumber(kProduct, ReleaseNumber(6), At(300ms));
  CHECK(Find<ScanHeads>(follower.Tick(At(300ms))) != nullptr);
}

TEST_CASE(
  "work is refused after mMaxStaleness without contact or the new release")
{
  const Duration bound = kSettings.mMaxStaleness;
  SUBCASE("no contact")
  {
    ReleaseFollower follower = MakeFollower(5, At(0s));
    CHECK(follower.MayAccept(kProduct, At(bound)));
    CHECK_FALSE(follower.MayAccept(kProduct, At(bound + 1ms)));
    (void)follower.OnHeadsFailed(At(bound));
    CHECK_FALSE(follower.MayAccept(kProduct, At(bound + 1ms)));
    (void)follower.OnPeerHeads(kPeerA, {}, At(bound + 2ms));
    CHECK(follower.MayAccept(kProduct, At(bound + 2ms)));
  }
  SUBCASE("newer release not in force")
  {
    ReleaseFollower follower = MakeFollower(5, At(0s));
    const Release next = MakeRelease(6);
    follower.OnGossipedNumber(kProduct, ReleaseNumber(6), At(1s));
    follower.OnGossipedNumber(kProduct, ReleaseNumber(6), At(1s + bound));
    CHECK(follower.MayAccept(kProduct, At(1s + bound)));
    follower.OnGossipedNumber(kProduct, ReleaseNumber(6), At(2s + bound));
    CHECK_FALSE(follower.MayAccept(kProduct, At(2s + bound)));
    (void)follower.OnHeads({ next.mHead }, At(2s + bound));
    (void)follower.OnBody(next.mHead, next.mText, At(2s + bound));
    CHECK(follower.MayAccept(kProduct, At(2s + bound)));
  }
}

TEST_CASE("a gossiped number unknown to the table does not block work")
{
  const Duration bound = kSettings.mMaxStaleness;
  const Release current = MakeRelease(5);
  ReleaseFollower follower = MakeFollower(5, At(0s));
  follower.OnGossipedNumber(kProduct, ReleaseNumber(900), At(1s));
  // The scan was not sent after the number was received, so it does not
  // disprove the number.
  (void)follower.OnHeads({ current.mHead }, At(1s));
  follower.OnGossipedNumber(kProduct, ReleaseNumber(900), At(2s + bound));
  CHECK_FALSE(follower.MayAccept(kProduct, At(2s + bound)));
  (void)follower.OnHeads({ current.mHead }, At(3s + bound));
  CHECK(follower.MayAccept(kProduct, At(3s + bound)));
  CHECK(InForce(follower) == 5);
}

TEST_CASE("a fetch without a result is repeated")
{
  ReleaseFollower follower = MakeFollower(5, At(0s));
  const Release next = MakeRelease(6);
  REQUIRE(Find<FetchNotes>(follower.OnHeads({ next.mHead }, At(1s))));
  CHECK(Find<FetchNotes>(follower.Tick(At(1s))) == nullptr);
  CHECK(Find<FetchRelease>(follower.Tick(At(1s))) == nullptr);
  CHECK(Find<FetchNotes>(follower.Tick(At(1s + kSettings.mRetryInterval))));
  (void)follower.OnHeadsFailed(At(2s));
  const auto again = follower.Tick(At(2s + kSettings.mRetryInterval));
  REQUIRE(Find<FetchRelease>(again) != nullptr);
  CHECK(Find<FetchRelease>(again)->mFromPeers);
}
