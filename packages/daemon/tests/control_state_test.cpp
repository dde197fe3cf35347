#include "control_state.h"

#include <bilberrytrail/base/random.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const ProductId kProduct("product-0");

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

std::vector<VmEntry>
RandomVms(Random& aRandom)
{
  std::vector<VmEntry> vms;
  for (int n = 0; n < 60; ++n) {
    VmEntry vm;
    vm.mName = "vm-" + std::to_string(n);
    vm.mRole = static_cast<VmRole>(aRandom.Below(4));
    vm.mProduct = ProductId("product-" + std::to_string(aRandom.Below(3)));
    vm.mGroup = "group-" + std::to_string(aRandom.Below(3));
    vm.mLeaving = aRandom.Below(4) == 0;
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::vector<ServerId>
ByWalk(const ControlView& aView,
       const ProductId& aProduct,
       VmRole aRole,
       const std::string& aGroup)
{
  std::vector<ServerId> servers;
  for (const auto& [id, server] : aView.mServers) {
    const VmEntry& vm = server.mVm;
    if (vm.mProduct == aProduct && vm.mRole == aRole && !vm.mLeaving &&
        (aRole != VmRole::Service || vm.mGroup == aGroup)) {
      servers.push_back(id);
    }
  }
  return servers;
}

std::vector<MemberRecord>
Members(int aCount)
{
  std::vector<MemberRecord> members;
  for (int n = 0; n < aCount; ++n) {
    MemberRecord member;
    member.mId = DaemonId("daemon-" + std::to_string(n));
    members.push_back(std::move(member));
  }
  return members;
}

} // namespace

TEST_CASE("the usable servers of a view are those that a walk over all finds")
{
  Random random(3);
  for (int n = 0; n < 20; ++n) {
    ControlViewHolder views;
    ControlState state(views, DaemonId("d"), ZoneId("z"));
    state.SetVms(RandomVms(random), At(0s));
    const auto view = views.Load();
    for (int product = 0; product < 4; ++product) {
      const ProductId id("product-" + std::to_string(product));
      for (const auto role :
           { VmRole::Engine, VmRole::Store, VmRole::Service }) {
        for (const std::string group : { "", "group-0", "group-2" }) {
          CHECK(view->UsableServers(id, role, group) ==
                ByWalk(*view, id, role, group));
        }
      }
    }
  }
}

TEST_CASE("many deaths in a row come into few views, the first one at once")
{
  ControlViewHolder views;
  ControlState state(views, DaemonId("d"), ZoneId("z"));
  int rebuilds = 0;
  state.OnView([&](const ControlView&) { ++rebuilds; });
  state.SetMembers(Members(400), At(0s));
  CHECK(rebuilds == 1);
  Duration now = 1s;
  for (int left = 399; left >= 200; --left) {
    state.SetMembers(Members(left), At(now));
    state.Tick(At(now));
    CHECK(views.Load()->mMembers.size() <= static_cast<std::size_t>(left + 40));
    now += 5ms;
  }
  CHECK(rebuilds <= 1 + 1000 / 100 + 1);
  state.Tick(At(now + kMemberPause));
  CHECK(views.Load()->mMembers.size() == 200);
  const int before = rebuilds;
  state.Tick(At(now + 10s));
  CHECK(rebuilds == before);
}

TEST_CASE("a leaving server comes into a view at once, also amid deaths")
{
  ControlViewHolder views;
  ControlState state(views, DaemonId("d"), ZoneId("z"));
  VmEntry vm;
  vm.mName = "engine";
  vm.mRole = VmRole::Engine;
  vm.mProduct = kProduct;
  state.SetVms({ vm }, At(0s));
  state.SetMembers(Members(3), At(0s));
  state.SetMembers(Members(2), At(1ms));
  CHECK(views.Load()->UsableServers(kProduct, VmRole::Engine, "").size() == 1);
  CHECK(state.HearLeaving({ vm.mName, vm.mEndpoint, 30s }, At(2ms)));
  CHECK(views.Load()->UsableServers(kProduct, VmRole::Engine, "").empty());
  CHECK(views.Load()->mMembers.size() == 2);
  // The receiver's next list lags.
  vm.mChecksFencing = true;
  state.SetVms({ vm }, At(1s));
  state.Tick(At(1s));
  CHECK(views.Load()->UsableServers(kProduct, VmRole::Engine, "").empty());
  state.Tick(At(31s));
  CHECK(views.Load()->UsableServers(kProduct, VmRole::Engine, "").size() == 1);
}
