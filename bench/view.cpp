// Cost of the control view at full size: rendezvous of all servers at each
// rebuild, the lookups that each request makes, and a release body with all
// accounts. Modules driven by themselves; times as they are.

#include "control_state.h"
#include "list_message.h"
#include "report.h"
#include "timing.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/membership/rendezvous.h>
#include <bilberrytrail/platform/platform_json.h>
#include <bilberrytrail/release/release_body.h>
#include <bilberrytrail/release/release_note.h>

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
  Instant now = MonotonicNow();
  const double micros = MicrosPerCall(
    5, [&](std::size_t) { state.SetMembers(members, now += 1s); });
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
  // Without the view's own lists: a walk over all servers.
  const double walk = MicrosPerCall(200, [&](std::size_t) {
    std::vector<ServerId> servers;
    for (const auto& [id, server] : view->mServers) {
      if (server.mVm.mProduct == product && !server.mVm.mLeaving) {
        servers.push_back(id);
      }
    }
    found += servers.size();
  });
  Print(
    { "usable servers of a request, 1,850 of 3,700",
      "both",
      Format(lookup, 2, " us a request; by a walk ") + Format(walk, 0, " us"),
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

// A note as operators write it, of about 400 bytes.
NoteRow
SampleNoteRow()
{
  return { "note-2026-12-04-0001",
           "[release]\nproduct = product-0\nagainst = 1\n"
           "[add account account-new]\ntoken_sha256 = " +
             Sha256Hex("new") +
             "\nrequests_per_second = 20\ntokens_per_second = 8000\n"
             "concurrent = 16\n[change model model-1]\nversion = v2\n"
             "min_servers = 10\nmax_servers = 600\nrole = serve\n"
             "[withdraw]\naccounts = account-1, account-2\n" };
}

// A follower's own way to the next release: apply the note, check the hash.
void
MeasureApply(std::size_t aAccounts)
{
  const auto body = MakeBody(aAccounts);
  const NoteRow note = SampleNoteRow();
  std::size_t hashed = 0;
  const double micros = MicrosPerCall(3, [&](std::size_t) {
    const auto next = BodyAfter(body->mState, { note });
    hashed += next ? Sha256Hex(ToText(next.value())).size() : 0;
  });
  PrintSlope("release_" + std::to_string(aAccounts),
             "apply_micros",
             hashed == 0 ? 0 : micros);
  Print({ "note on " + std::to_string(aAccounts) + " accounts",
          "both",
          Format(micros / 1000, 1, " ms"),
          "",
          Verdict::Stated });
}

// Bytes of a reader's messages to one daemon, and of its answer.
void
MeasureListMessages()
{
  const auto call = [](const Json& aParams) {
    const Json body = { { "jsonrpc", "2.0" },
                        { "id", 1 },
                        { "method", "list.changes" },
                        { "params", aParams } };
    return static_cast<double>(body.dump().size());
  };
  auto vms = MakeVms(4000);
  SortByName(vms);
  const Instant now = Instant() + 90000s;
  ListFollower follower(ListTimes{});
  const std::string tag = '"' + Sha256Hex("tag") + '"';
  (void)follower.OnRead({ false, vms, tag }, { now - 500ms, now - 480ms });
  const DaemonId reader("entry-399/0123456789abcdef");
  ListMessage message{ reader, follower.Digest(), 90000000000, now - 8s };
  PrintSlope("sizes",
             "list_heartbeat_bytes",
             call(MakeListNews(reader, message, follower, {}, now)));
  message.mHeld = Sha256Hex("before");
  const VmListChange change{ { vms.back() }, {} };
  PrintSlope("sizes",
             "list_change_bytes",
             call(MakeListNews(reader, message, follower, change, now)));
  const Json answer = { { "jsonrpc", "2.0" },
                        { "id", 1 },
                        { "result",
                          { { "digest", follower.Digest() },
                            { "clock_us", 90000000000 } } } };
  PrintSlope(
    "sizes", "list_answer_bytes", static_cast<double>(answer.dump().size()));
  PrintSlope("sizes",
             "note_row_bytes",
             static_cast<double>(ToText(SampleNoteRow()).size()));
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
  MeasureListMessages();
  MeasureRendezvous(57);
  MeasureRendezvous(400);
  MeasureRebuild(57);
  MeasureRebuild(400);
  MeasureRelease(470);
  MeasureRelease(4700);
  MeasureApply(4700);
  return 0;
}
