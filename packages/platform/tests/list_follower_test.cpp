#include <bilberrytrail/platform/list_follower.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr ListTimes kTimes;
const DaemonId kReader("reader");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

ReadSpan
SpanAt(Duration aTime)
{
  return { At(aTime), At(aTime + 10ms) };
}

// The list in which as many VMs are there.
std::vector<VmEntry>
ListOf(int aCount)
{
  std::vector<VmEntry> vms;
  for (int n = 0; n < aCount; ++n) {
    VmEntry vm;
    vm.mName = "vm-" + std::to_string(n);
    vms.push_back(std::move(vm));
  }
  SortByName(vms);
  return vms;
}

ListUpdate
NewsOf(int aFrom, int aTo, Duration aTime)
{
  ListUpdate news;
  news.mReader = kReader;
  news.mSpan = SpanAt(aTime);
  news.mDigest = DigestOf(ListOf(aTo));
  news.mFrom = DigestOf(ListOf(aFrom));
  news.mChange = ChangeBetween(ListOf(aFrom), ListOf(aTo));
  return news;
}

// A daemon that is no reader and has read the list itself at 0 s.
ListFollower
Following(int aCount)
{
  ListFollower follower(kTimes);
  CHECK(follower.MustRead(At(0s)));
  const auto action =
    follower.OnRead({ false, ListOf(aCount), "tag" }, SpanAt(0s));
  REQUIRE(std::holds_alternative<UseList>(action));
  follower.SetReader(false);
  return follower;
}

} // namespace

TEST_CASE("a reader reads each period, others in silence and at the check")
{
  ListFollower follower = Following(3);
  CHECK_FALSE(follower.MustRead(At(5s)));
  CHECK(follower.MustRead(At(kTimes.mSilenceTimeout + 10ms)));
  follower.SetReader(true);
  CHECK_FALSE(follower.MustRead(At(kTimes.mPollInterval - 1ms)));
  CHECK(follower.MustRead(At(kTimes.mPollInterval)));
  follower.OnReadFailed(At(kTimes.mPollInterval));
  CHECK_FALSE(follower.MustRead(At(kTimes.mPollInterval + 1ms)));
  follower.SetReader(false);
  for (Duration now = 5s; now < kTimes.mCheckInterval; now += 5s) {
    (void)follower.OnUpdate(NewsOf(3, 3, now), At(now));
    CHECK_FALSE(follower.MustRead(At(now + 1s)));
  }
  CHECK(follower.MustRead(At(kTimes.mCheckInterval + 10ms)));
  (void)follower.OnRead({ true, {}, "tag" }, SpanAt(kTimes.mCheckInterval));
  (void)follower.OnUpdate(NewsOf(3, 3, kTimes.mCheckInterval + 1s),
                          At(kTimes.mCheckInterval + 1s));
  CHECK_FALSE(follower.MustRead(At(kTimes.mCheckInterval + 5s)));
}

TEST_CASE("a change is applied, and a gap or a wrong change fetches the list")
{
  ListFollower follower = Following(3);
  CHECK(std::holds_alternative<UseList>(
    follower.OnUpdate(NewsOf(3, 4, 1s), At(1s))));
  CHECK(follower.Vms() == ListOf(4));
  ListUpdate wrong = NewsOf(4, 6, 2s);
  wrong.mChange.mChanged.pop_back();
  SUBCASE("gap")
  {
    wrong = NewsOf(5, 6, 2s);
  }
  SUBCASE("wrong change") {}
  const auto action = follower.OnUpdate(wrong, At(2s));
  const auto* whole = std::get_if<FetchWholeList>(&action);
  REQUIRE(whole != nullptr);
  CHECK(whole->mReader == kReader);
  CHECK(follower.Vms() == ListOf(4));
  CHECK(std::holds_alternative<UseList>(
    follower.OnWholeList(ListOf(6), "tag-6", SpanAt(2s))));
  CHECK(follower.Vms() == ListOf(6));
  CHECK(follower.Tag() == "tag-6");
}

TEST_CASE("a list that isn't known to be newer is not taken")
{
  ListFollower follower = Following(3);
  (void)follower.OnUpdate(NewsOf(3, 5, 10s), At(10s));
  REQUIRE(follower.Vms() == ListOf(5));
  for (const Duration time : { 9000ms, 10000ms, 10009ms }) {
    CAPTURE(time.count());
    CHECK(follower.OnUpdate(NewsOf(5, 3, time), At(11s)).index() == 0);
    CHECK(follower.OnUpdate(NewsOf(2, 3, time), At(11s)).index() == 0);
    CHECK(follower.OnWholeList(ListOf(3), "", SpanAt(time)).index() == 0);
    CHECK(follower.OnRead({ false, ListOf(3), "" }, SpanAt(time)).index() == 0);
  }
  CHECK(follower.Vms() == ListOf(5));
  CHECK(std::holds_alternative<UseList>(
    follower.OnUpdate(NewsOf(5, 3, 10s + 10ms), At(11s))));
}

TEST_CASE("readers that contradict each other lead to the platform")
{
  ListFollower follower = Following(3);
  CHECK(std::holds_alternative<FetchWholeList>(
    follower.OnUpdate(NewsOf(8, 9, 1s), At(1s))));
  (void)follower.OnWholeList(ListOf(9), "", SpanAt(1s));
  CHECK_FALSE(follower.MustRead(At(2s)));
  CHECK(follower.OnUpdate(NewsOf(8, 3, 2s), At(2s)).index() == 0);
  CHECK(follower.Vms() == ListOf(9));
  CHECK(follower.MustRead(At(2s)));
  CHECK(std::holds_alternative<UseList>(
    follower.OnRead({ false, ListOf(3), "tag" }, SpanAt(3s))));
  CHECK_FALSE(follower.MustRead(At(5s)));
}

TEST_CASE("an answer that nothing changed counts for its own tag only")
{
  ListFollower follower = Following(3);
  (void)follower.OnUpdate(NewsOf(3, 4, 1s), At(1s));
  CHECK(follower.Tag().empty());
  // Asked with the tag of the list before.
  (void)follower.OnRead({ true, {}, "tag" }, SpanAt(5s));
  CHECK(follower.Span() == SpanAt(1s));
}
