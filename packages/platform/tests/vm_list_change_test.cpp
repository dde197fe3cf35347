#include <bilberrytrail/base/random.h>
#include <bilberrytrail/platform/vm_list_change.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Returns a list of up to 20 VMs, each listed and leaving at random.
std::vector<VmEntry>
RandomList(Random& aRandom)
{
  std::vector<VmEntry> vms;
  for (int n = 0; n < 20; ++n) {
    if (aRandom.Below(4) == 0) {
      continue;
    }
    VmEntry vm;
    vm.mName = "vm-" + std::to_string(n);
    vm.mRole = VmRole::Engine;
    vm.mEndpoint = { "10.0.0.1", static_cast<std::uint16_t>(8000 + n) };
    vm.mLeaving = aRandom.Below(5) == 0;
    vms.push_back(std::move(vm));
  }
  SortByName(vms);
  return vms;
}

} // namespace

TEST_CASE("a change applied to its base list gives the new list, also via JSON")
{
  Random random(1);
  for (int n = 0; n < 200; ++n) {
    const auto from = RandomList(random);
    const auto to = RandomList(random);
    const auto change = ReadVmListChange(ToJson(ChangeBetween(from, to)));
    REQUIRE(change);
    CHECK(Apply(from, change.value()) == to);
    CHECK((DigestOf(from) == DigestOf(to)) == (from == to));
  }
}

TEST_CASE("a history returns the changes since each of the last 17 lists")
{
  Random random(2);
  VmListHistory history;
  std::vector<std::vector<VmEntry>> lists;
  for (int n = 0; n < 60; ++n) {
    lists.push_back(RandomList(random));
    history.Add(lists.back(), DigestOf(lists.back()));
    for (std::size_t it = 0; it < lists.size(); ++it) {
      const auto change = history.Since(DigestOf(lists[it]));
      CHECK(change.has_value() == (lists.size() - it <= 17));
      if (change) {
        CHECK(Apply(lists[it], *change) == lists.back());
      }
    }
  }
  CHECK_FALSE(history.Since("unknown"));
}

TEST_CASE("reading a malformed change fails")
{
  for (const char* text : { "[]",
                            "{}",
                            R"({"changed":[],"removed":[1]})",
                            R"({"changed":[{}],"removed":[]})",
                            R"({"changed":{},"removed":[]})" }) {
    CAPTURE(text);
    CHECK_FALSE(ReadVmListChange(ParseJson(text).value()));
  }
}
