// Cost of the control view at full size: rendezvous of all servers at each
// rebuild, the lookups that each request makes, and a release body with all
// accounts. Modules driven by themselves; times as they are.

#include "control_state.h"
#include "report.h"
#include "timing.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/membership/rendezvous.h>
#include <bilberrytrail/platform/platform_json.h>
#include <bilberrytrail/release/release_body.h>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr std::size_t kServers = 3700;
constexpr std::size_t kZones = 7;
constexpr std::size_t kProducts = 2;

std::string
Numbered(const char* aName, std::size_t aNumber)
{
  return aName + std::to_string(aNumber);
}

std::vector<MemberRecord>
MakeMembers(std::size_t aCount)
{
  std::vector<MemberRecord> members;
  for (std::size_t n = 0; n < aCount; ++n) {
    MemberRecord member;
    member.mId = DaemonId(Numbered("entry-", n) + "/0123456789abcdef");
    member.mZone = ZoneId(Numbered("zone-", n % kZones));
    member.mEndpoint = { "10.0.0." + std::to_string(n), 7000 };
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<VmEntry>
MakeVms(std::size_t aCount)
{
  std::vector<VmEntry> vms;
  for (std::size_t n = 0; n < aCount; ++n) {
    VmEntry vm;
    vm.mName = Numbered("engine-", n);
    vm.mRole = VmRole::Engine;
    vm.mProduct = ProductId(Numbered("product-", n % kProducts));
    vm.mZone = ZoneId(Numbered("zone-", n % kZones));
    vm.mEndpoint = { "10.1.0." + std::to_string(n), 8000 };
    vms.push_back(std::move(vm));
  }
  return vms;
}

std::shared_ptr<const ReleaseBody>
MakeBody(std::size_t aAccounts)
{
  auto body = std::make_shared<ReleaseBody>();
  body->mNoteId = "note";
  body->mState.mProduct = ProductId("product-0");
  body->mState.mNumber = ReleaseNumber(1);
  for (std::size_t n = 0; n < aAccounts; ++n) {
    AccountSpec spec;
    spec.mTokenHashes = { Sha256Hex(Numbered("token-", n)) };
    spec.mRequestsPerSecond = 10;
    spec.mTokensPerSecond = 10000;
    spec.mConcurrent = 16;
    body->mState.mAccounts.emplace(AccountId(Numbered("account-", n)), spec);
  }
  for (std::size_t n = 0; n < 3; ++n) {
    body->mState.mModels.emplace(
      ModelId(Numbered("model-", n)),
      ModelSpec{ VersionId("v1"), 10, 600, "serve" });
  }
  return body;
}

void
MeasureRebuild(std::size_t aDaemons)
{
  ControlViewHolder views;
  const auto members = MakeMembers(aDaemons);
  ControlState state(views, members[0].mId, members[0].mZone);
  const double heap = HeapBytes();
  state.SetVms(MakeVms(kServers), MonotonicNow());
  const double micros =
    MicrosPerCall(5, [&](std::size_t) { state.SetMembers(members); });
  const double bytes = HeapBytes() - heap;
  const std::string size = std::to_string(aDaemons);
  Print({ "view rebuild, 3,700 servers over " + size + " daemons",
          "both",
          Format(micros / 1000, 1, " ms, ") + Format(bytes / 1e6, 1, " MB"),
          "",
          Verdict::Stated });
  PrintSlope("view", "rebuild_micros_" + size, micros);
  PrintSlope("view", "memory_bytes_" + size, bytes);
  if (aDaemons != 400) {
    return;
  }
  const auto view = views.Load();
  const ProductId product("product-0");
  std::size_t found = 0;
  const double lookup = MicrosPerCall(200, [&](std::size_t) {
    found += view->UsableServers(product, VmRole::Engine, "").size();
  });
  Print({ "usable servers of a request, 1,850 of 3,700",
          "both",
          Format(lookup, 0, " us a request"),
          "",
          Verdict::Stated });
  PrintSlope("view", "usable_servers_micros", found == 0 ? 0 : lookup);
}

void
MeasureRendezvous(std::size_t aDaemons)
{
  std::vector<HomeCandidate> homes;
  for (const auto& it : MakeMembers(aDaemons)) {
    homes.push_back({ it.mId, it.mZone, 1.0 });
  }
  std::size_t n = 0;
  const double micros = MicrosPerCall(2000, [&](std::size_t aNumber) {
    n += HomeOf(Numbered("key-", aNumber), homes).Text().size();
  });
  const std::string size = std::to_string(aDaemons);
  PrintSlope("rendezvous", "micros_" + size, n == 0 ? 0 : micros);
  Print({ "home of a key among " + size + " daemons",
          "both",
          Format(micros, 2, " us"),
          "",
          Verdict::Stated });
}

void
MeasureRelease(std::size_t aAccounts)
{
  const auto body = MakeBody(aAccounts);
  const std::string text = ToText(*body);
  const double parse =
    MicrosPerCall(3, [&](std::size_t) { (void)ReleaseBodyFromText(text); });
  const double heap = HeapBytes();
  ControlViewHolder views;
  ControlState state(views, DaemonId("d"), ZoneId("z"));
  const double build =
    MicrosPerCall(3, [&](std::size_t) { state.SetRelease(body); });
  const double bytes = HeapBytes() - heap;
  const auto view = views.Load();
  std::size_t found = 0;
  const double lookup = MicrosPerCall(10000, [&](std::size_t aNumber) {
    found +=
      view->mTokens.count(Sha256Hex(Numbered("token-", aNumber % aAccounts)));
  });
  const std::string size = std::to_string(aAccounts);
  Print({ "release body of " + size + " accounts",
          "both",
          Format(static_cast<double>(text.size()) / 1000, 0, " kB, parse ") +
            Format(parse / 1000, 1, " ms, view ") +
            Format(build / 1000, 1, " ms, ") +
            Format(bytes / 1e6, 1, " MB, token lookup ") +
            Format(found == 0 ? 0 : lookup, 2, " us"),
          "",
          Verdict::Stated });
  const std::string section = "release_" + size;
  PrintSlope(section, "body_bytes", static_cast<double>(text.size()));
  PrintSlope(section, "parse_micros", parse);
  PrintSlope(section, "view_micros", build);
  PrintSlope(section, "view_bytes", bytes);
  PrintSlope(section, "token_lookup_micros", lookup);
}

// Bytes of what is read or sent again and again.
void
MeasureSizes()
{
  const auto size = [](const Json& aJson) {
    return static_cast<double>(aJson.dump().size());
  };
  EngineState state;
  state.mVersions = { { ModelId("model-1"), VersionId("v1"), true },
                      { ModelId("model-2"), VersionId("v1"), true } };
  state.mRole = "serve";
  state.mRunning = 3;
  state.mSlots = 8;
  state.mTokensPerSecond = 400;
  const EngineEvent event{ EngineEventKind::Load, 12345, state, {} };
  PrintSlope("sizes", "list_entry_bytes", size(ToJson(MakeVms(4000).back())));
  PrintSlope("sizes", "engine_state_bytes", size(ToJson(state)));
  PrintSlope("sizes", "engine_report_bytes", size(ToJson(event)));
}

} // namespace

int
main()
{
  MeasureSizes();
  MeasureRendezvous(57);
  MeasureRendezvous(400);
  MeasureRebuild(57);
  MeasureRebuild(400);
  MeasureRelease(470);
  MeasureRelease(4700);
  return 0;
}
