#include "quarantine_service.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

// Passes messages as they are.
class OpenSeal final : public PeerSeal
{
public:
  std::string Seal(const DaemonId& /*aReceiver*/,
                   std::string_view aBody) override
  {
    return std::string(aBody);
  }
  std::string SealForAny(std::string_view aBody) override
  {
    return std::string(aBody);
  }
  Result<PeerMessage> Open(std::string_view aWire) override
  {
    return PeerMessage{ DaemonId("peer"), std::string(aWire) };
  }
  Result<PeerMessage> OpenForAny(std::string_view aWire) override
  {
    return Open(aWire);
  }
};

const FingerprintOwner kOwner{ ProductId("p"), AccountId("a") };

QuarantineRun
MakeRun(const char* aPrompt, const char* aServer, std::uint64_t aIncarnation)
{
  return { FingerprintOfCompletion(kOwner, "guide", "", aPrompt),
           kOwner,
           ServerId(aServer),
           aIncarnation };
}

// Runs the function on a fiber of a thread without other daemons.
template<class Function>
void
OnThread(Function aFunction)
{
  Loop loop;
  OpenSeal seal;
  ThreadContext thread(loop, seal, Endpoint());
  loop.Spawn([&] {
    aFunction(thread);
    loop.Stop();
  });
  loop.Run();
}

Json
MakeRecord(Fingerprint aFingerprint, std::uint64_t aDeath)
{
  return { { "fingerprint", ToText(aFingerprint) },
           { "death", aDeath },
           { "cleared", false },
           { "remaining_ms", 60000 },
           { "product", "p" },
           { "account", "a" } };
}

} // namespace

TEST_CASE("a death counts once, against what ran on that incarnation")
{
  OnThread([](ThreadContext& aThread) {
    ControlViewHolder views;
    QuarantineService quarantine(600s, views);
    const auto poison = MakeRun("poison", "e1", 7);
    const auto later = MakeRun("later", "e1", 8);
    const auto other = MakeRun("other", "e2", 7);
    for (const auto& run : { poison, later, other }) {
      quarantine.AddRunning(run);
    }
    // Each request that broke reports the same death.
    quarantine.OnDeath(aThread, ServerId("e1"), 7);
    quarantine.OnDeath(aThread, ServerId("e1"), 7);
    CHECK(quarantine.Verdict(poison.mFingerprint) ==
          QuarantineVerdict::Suspect);
    CHECK(quarantine.Verdict(later.mFingerprint) == QuarantineVerdict::Clear);
    CHECK(quarantine.Verdict(other.mFingerprint) == QuarantineVerdict::Clear);

    quarantine.AddRunning(MakeRun("poison", "e1", 9));
    quarantine.OnDeath(aThread, ServerId("e1"), 9);
    CHECK(quarantine.Verdict(poison.mFingerprint) ==
          QuarantineVerdict::Convicted);
    CHECK(quarantine.Start(aThread, poison.mFingerprint, ServerId("e3")) ==
          StartVerdict::Refuse);
  });
}

TEST_CASE("a request that has left its server does not count")
{
  OnThread([](ThreadContext& aThread) {
    ControlViewHolder views;
    QuarantineService quarantine(600s, views);
    const auto run = MakeRun("done", "e1", 7);
    quarantine.AddRunning(run);
    quarantine.AddRunning(run);
    quarantine.RemoveRunning(run);
    quarantine.RemoveRunning(run);
    quarantine.OnDeath(aThread, ServerId("e1"), 7);
    CHECK(quarantine.Entries().empty());
  });
}

TEST_CASE("operators see entries and clear them")
{
  OnThread([](ThreadContext& aThread) {
    ControlViewHolder views;
    QuarantineService quarantine(600s, views);
    const auto run = MakeRun("poison", "e1", 1);
    quarantine.AddRunning(run);
    quarantine.OnDeath(aThread, ServerId("e1"), 1);
    const auto entries = quarantine.Entries();
    REQUIRE(entries.size() == 1);
    CHECK(entries[0].mFingerprint == run.mFingerprint);
    CHECK(entries[0].mProduct == kOwner.mProduct);
    CHECK(entries[0].mAccount == kOwner.mAccount);
    CHECK(entries[0].mVerdict == QuarantineVerdict::Suspect);
    CHECK(entries[0].mDeaths == 1);
    CHECK(quarantine.Clear(aThread, run.mFingerprint));
    CHECK(quarantine.Entries().empty());
    CHECK(quarantine.Verdict(run.mFingerprint) == QuarantineVerdict::Clear);
    CHECK_FALSE(quarantine.Clear(aThread, run.mFingerprint));
  });
}

TEST_CASE("records of other daemons convict here")
{
  ControlViewHolder views;
  QuarantineService quarantine(600s, views);
  RpcMethods methods;
  quarantine.AddMethods(methods);
  const RpcTransport transport = [&](const std::string& aText) {
    return Result<std::string>(methods.Serve(aText));
  };
  const Fingerprint poison(0xfedcba9876543210ULL);
  const std::uint64_t largest = ~std::uint64_t{ 0 };
  REQUIRE(CallRpc("quarantine.merge",
                  { { "records",
                      Json::array({ MakeRecord(poison, largest),
                                    MakeRecord(poison, largest - 1) }) } },
                  transport));
  CHECK(quarantine.Verdict(poison) == QuarantineVerdict::Convicted);

  Json bad = MakeRecord(Fingerprint(5), 1);
  bad["fingerprint"] = "5";
  CHECK_FALSE(CallRpc(
    "quarantine.merge", { { "records", Json::array({ bad }) } }, transport));
  CHECK_FALSE(CallRpc("quarantine.merge", Json::object(), transport));
  CHECK(quarantine.Verdict(Fingerprint(5)) == QuarantineVerdict::Clear);
}

TEST_CASE("the text of a fingerprint has 16 digits and comes back")
{
  for (const std::uint64_t n :
       { std::uint64_t{ 0 }, std::uint64_t{ 0xab }, ~std::uint64_t{ 0 } }) {
    const Fingerprint fingerprint(n);
    CHECK(ToText(fingerprint).size() == 16);
    CHECK(ReadFingerprint(ToText(fingerprint)) == fingerprint);
  }
  for (const char* text :
       { "", "ab", "00000000000000zz", "00000000000000000" }) {
    CHECK_FALSE(ReadFingerprint(text).has_value());
  }
}

TEST_CASE("the parts of a request do not run into each other")
{
  CHECK(FingerprintOfCompletion(kOwner, "ab", "c", "d") !=
        FingerprintOfCompletion(kOwner, "a", "bc", "d"));
  CHECK(FingerprintOfCompletion(kOwner, "a", "b", "cd") !=
        FingerprintOfCompletion(kOwner, "a", "bc", "d"));
}
