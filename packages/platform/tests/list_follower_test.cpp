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

// Returns a list of aCount VMs.
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
UpdateOf(int aFrom, int aTo, Duration aTime)
{
  ListUpdate update;
  update.mReader = kReader;
  update.mSpan = SpanAt(aTime);
  update.mDigest = DigestOf(ListOf(aTo));
  update.mFrom = DigestOf(ListOf(aFrom));
  update.mChange = ChangeBetween(ListOf(aFrom), ListOf(aTo));
  return update;
}

// Returns the follower of a daemon that is not a reader and read the list
// itself at 0 s.
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

TEST_CASE("a reader polls, other daemons read after silence and at checks")
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
    (void)follower.OnUpdate(UpdateOf(3, 3, now), At(now));
    CHECK_FALSE(follower.MustRead(At(now + 1s)));
  }
  CHECK(follower.MustRead(At(kTimes.mCheckInterval + 10ms)));
  (void)follower.OnRead({ true, {}, "tag" }, SpanAt(kTimes.mCheckInterval));
  (void)follower.OnUpdate(UpdateOf(3, 3, kTimes.mCheckInterval + 1s),
                          At(kTimes.mCheckInterval + 1s));
  CHECK_FALSE(follower.MustRead(At(kTimes.mCheckInterval + 5s)));
}

TEST_CASE("a change is applied, and a gap or a wrong digest fetches the list")
{
  ListFollower follower = Following(3);
  CHECK(std::holds_alternative<UseList>(
    follower.OnUpdate(UpdateOf(3, 4, 1s), At(1s))));
  CHECK(follower.Vms() == ListOf(4));
  ListUpdate wrong = UpdateOf(4, 6, 2s);
  wrong.mChange.mChanged.pop_back();
  SUBCASE("gap")
  {
    wrong = UpdateOf(5, 6, 2s);
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

TEST_CASE("a list that is not known to be newer is ignored")
{
  ListFollower follower = Following(3);
  (void)follower.OnUpdate(UpdateOf(3, 5, 10s), At(10s));
  REQUIRE(follower.Vms() == ListOf(5));
  for (const Duration time : { 9000ms, 10000ms, 10009ms }) {
    CAPTURE(time.count());
    CHECK(follower.OnUpdate(UpdateOf(5, 3, time), At(11s)).index() == 0);
    CHECK(follower.OnUpdate(UpdateOf(2, 3, time), At(11s)).index() == 0);
    CHECK(follower.OnWholeList(ListOf(3), "", SpanAt(time)).index() == 0);
    CHECK(follower.OnRead({ false, ListOf(3), "" }, SpanAt(time)).index() == 0);
  }
  CHECK(follower.Vms() == ListOf(5));
  CHECK(std::holds_alternative<UseList>(
    follower.OnUpdate(UpdateOf(5, 3, 10s + 10ms), At(11s))));
}

TEST_CASE("contradicting readers make the daemon read the platform")
{
  ListFollower follower = Following(3);
  CHECK(std::holds_alternative<FetchWholeList>(
    follower.OnUpdate(UpdateOf(8, 9, 1s), At(1s))));
  (void)follower.OnWholeList(ListOf(9), "", SpanAt(1s));
  CHECK_FALSE(follower.MustRead(At(2s)));
  CHECK(follower.OnUpdate(UpdateOf(8, 3, 2s), At(2s)).index() == 0);
  CHECK(follower.Vms() == ListOf(9));
  CHECK(follower.MustRead(At(2s)));
  CHECK(std::holds_alternative<UseList>(
    follower.OnRead({ false, ListOf(3), "tag" }, SpanAt(3s))));
  CHECK_FALSE(follower.MustRead(At(5s)));
}

TEST_CASE("an unchanged response confirms only the list of its tag")
{
  ListFollower follower = Following(3);
  (void)follower.OnUpdate(UpdateOf(3, 4, 1s), At(1s));
  CHECK(follower.Tag().empty());
  // The read was sent with the tag of the previous list.
  (void)follower.OnRead({ true, {}, "tag" }, SpanAt(5s));
  CHECK(follower.Span() == SpanAt(1s));
}
