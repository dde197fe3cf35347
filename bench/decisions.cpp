// Cost of decision modules by their size, each driven by itself; times as
// they are.

#include "report.h"
#include "timing.h"

#include <bilberrytrail/base/random.h>
#include <bilberrytrail/cache/prefix_planner.h>
#include <bilberrytrail/cache/prompt_directory.h>
#include <bilberrytrail/orders/claim_batch.h>
#include <bilberrytrail/traffic/account_limits.h>
#include <bilberrytrail/traffic/quarantine.h>
#include <bilberrytrail/traffic/server_queue.h>

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Instant kStart{ 1000s };

void
Show(const std::string& aMeasure, std::size_t aSize, const std::string& aValue)
{
  Print({ aMeasure + " at " + std::to_string(aSize),
          "both",
          aValue,
          "",
          Verdict::Stated });
}

QueueEntry
MakeEntry(std::uint64_t aTicket)
{
  QueueEntry entry;
  entry.mTicket = Ticket(aTicket);
  entry.mAccount = AccountId("account-" + std::to_string(aTicket % 10));
  entry.mClass = aTicket % 2 == 0 ? WorkClass::Draft : WorkClass::Short;
  entry.mCostTokens = 1000;
  entry.mService = 100ms;
  return entry;
}

// One request is offered, granted and finished while others wait.
void
MeasureQueue(std::size_t aWaiting)
{
  QueueSettings settings;
  settings.mMaxWaiting = aWaiting + 100;
  const auto queue = MakeFairServerQueue(settings);
  std::vector<Ticket> running;
  const auto take = [&](const QueueActions& aActions) {
    for (const auto& it : aActions) {
      if (const auto* grant = std::get_if<GrantAction>(&it)) {
        running.push_back(grant->mTicket);
      }
    }
  };
  std::uint64_t ticket = 0;
  while (queue->Waiting() < aWaiting) {
    take(queue->Offer(MakeEntry(++ticket), kStart));
  }
  const double micros = MicrosPerCall(500, [&](std::size_t) {
    take(queue->Offer(MakeEntry(++ticket), kStart));
    const auto first = running.front();
    running.erase(running.begin());
    take(queue->Finish(first, kStart));
  });
  const auto probe = MakeEntry(0);
  double waits = 0;
  const double predict = MicrosPerCall(500, [&](std::size_t) {
    waits += ToMillis(queue->PredictWait(probe, kStart));
  });
  const double tick =
    MicrosPerCall(500, [&](std::size_t) { take(queue->Tick(kStart)); });
  Show("server queue, entries waiting",
       aWaiting,
       Format(micros, 1, " us a request, ") +
         Format(predict, 1, " us an estimate, ") +
         Format(tick, 1, " us a tick"));
  const std::string size = std::to_string(aWaiting);
  PrintSlope("queue_" + size, "request_micros", micros);
  PrintSlope("queue_" + size, "predict_micros", waits < 0 ? 0 : predict);
  PrintSlope("queue_" + size, "tick_micros", tick);
}

std::vector<BlockId>
BlocksOf(std::size_t aPrompt, std::size_t aCount)
{
  std::vector<BlockId> blocks;
  for (std::size_t n = 0; n < aCount; ++n) {
    blocks.push_back(BlockId(aPrompt * 1000 + n + 1));
  }
  return blocks;
}

void
MeasureDirectory(std::size_t aPrompts)
{
  constexpr std::size_t kBlocks = 16;
  DirectoryLimits limits;
  limits.mMaxPrompts = aPrompts + 100;
  const double heap = HeapBytes();
  PromptDirectory directory(limits);
  const auto keyOf = [](std::size_t aPrompt) {
    return PromptKey{ ProductId("p"),
                      AccountId("a"),
                      BlockId(aPrompt * 1000 + 1) };
  };
  const StoreId store("store-1");
  for (std::size_t n = 0; n < aPrompts; ++n) {
    const auto blocks = BlocksOf(n, kBlocks);
    directory.RecordUse(keyOf(n), blocks);
    for (const auto& block : blocks) {
      directory.OnStoreSealed(
        store,
        1,
        { BlockRef{ block, Generation(1), 1000, 7 }, StoreTier::Memory });
    }
  }
  std::uint64_t sequence = 0;
  const double event = MicrosPerCall(aPrompts, [&](std::size_t aNumber) {
    directory.OnServerEvent(ServerId("server-1"),
                            { EngineEventKind::BlockCached,
                              ++sequence,
                              std::nullopt,
                              BlocksOf(aNumber, kBlocks) },
                            kStart);
  });
  const double bytes = HeapBytes() - heap;
  std::size_t found = 0;
  const double find = MicrosPerCall(aPrompts, [&](std::size_t aNumber) {
    found += directory.Find(keyOf(aNumber), BlocksOf(aNumber, kBlocks), kStart)
               .mServers.size();
  });
  const double each = bytes / static_cast<double>(aPrompts);
  Show("prompt directory of 16 blocks each, prompts",
       aPrompts,
       Format(find, 1, " us a lookup, ") + Format(event, 1, " us an event, ") +
         Format(each / 1000, 2, " kB a prompt"));
  const std::string section = "directory_" + std::to_string(aPrompts);
  PrintSlope(section, "find_micros", found == 0 ? 0 : find);
  PrintSlope(section, "event_micros", event);
  PrintSlope(section, "prompt_bytes", each);
}

void
MeasurePlanner(std::size_t aBlocks, std::size_t aCandidates)
{
  PlanRequest request;
  request.mBlocks = static_cast<std::uint32_t>(aBlocks);
  request.mTokensPerBlock = 2048;
  for (std::size_t n = 0; n < aCandidates; ++n) {
    PlanCandidate candidate;
    candidate.mServer = ServerId("server-" + std::to_string(n));
    candidate.mQueueWait = FromMillis(static_cast<double>(n * 7 % 5) * 10);
    candidate.mPrefillTokensPerSecond = 20000;
    candidate.mResidentBlocks = static_cast<std::uint32_t>(n % 3);
    request.mCandidates.push_back(candidate);
  }
  for (std::size_t n = 0; n < aBlocks; ++n) {
    const StoreCopy copy{ StoreId("store-1"),
                          1,
                          { BlockId(n + 1), Generation(1), 32768, 7 },
                          StoreTier::Memory };
    request.mCopies.push_back({ copy });
  }
  request.mLinks.push_back({ StoreId("store-1"), 1e9, 0, 1ms, 5ms, 1e8 });
  LeastTimePlanner planner;
  std::size_t chosen = 0;
  const double micros = MicrosPerCall(200, [&](std::size_t) {
    chosen += planner.Choose(request).mServer.Text().size();
  });
  Show("planner, " + std::to_string(aBlocks) + " blocks, candidates",
       aCandidates,
       Format(micros, 1, " us"));
  PrintSlope("planner",
             "micros_" + std::to_string(aBlocks) + "_" +
               std::to_string(aCandidates),
             chosen == 0 ? 0 : micros);
}

void
MeasureClaims(std::size_t aPerBatch)
{
  ClaimBatcher batcher({});
  std::uint64_t ticket = 0;
  const CallResult<CommitOutcome> committed = CommitOutcome{ true, {} };
  const double micros = MicrosPerCall(200, [&](std::size_t) {
    for (std::size_t n = 0; n < aPerBatch; ++n) {
      (void)batcher.Add(
        ++ticket,
        { "claim/" + std::to_string(ticket), "value", 0, false },
        kStart);
    }
    while (const auto batch = batcher.Poll(kStart + 10ms)) {
      (void)batcher.OnCommitted(batch->mNumber, committed);
    }
  });
  const double each = micros / static_cast<double>(aPerBatch);
  Show("claims batcher, writes a transaction",
       aPerBatch,
       Format(each, 2, " us a write"));
  PrintSlope("claims", "micros_per_write_" + std::to_string(aPerBatch), each);
}

void
MeasureQuarantine(std::size_t aSuspects)
{
  QuarantineSettings settings;
  settings.mMaxFingerprints = aSuspects + 100;
  const auto quarantine = MakeQuarantine(settings);
  for (std::size_t n = 0; n < aSuspects; ++n) {
    const ServerId server("server-" + std::to_string(n));
    quarantine->ServerDied(
      MakeDeathId(server, 1), server, { Fingerprint(n + 1) }, kStart);
  }
  const ServerId server("other");
  std::size_t started = 0;
  const double micros = MicrosPerCall(1000, [&](std::size_t aNumber) {
    const Fingerprint fresh(1000000 + aNumber);
    started +=
      quarantine->Start(fresh, server, kStart) == StartVerdict::Start ? 1 : 0;
    quarantine->End(fresh, server, RunEnd::Clean, kStart);
  });
  Show("quarantine, suspects", aSuspects, Format(micros, 2, " us a request"));
  PrintSlope("quarantine",
             "micros_" + std::to_string(aSuspects),
             started == 0 ? 0 : micros);
}

void
MeasureShares(std::size_t aDaemons)
{
  const auto allocator = MakeWeightedShareAllocator(5s, kStart);
  double shares = 0;
  const double micros = MicrosPerCall(aDaemons * 2, [&](std::size_t aNumber) {
    shares += allocator
                ->Renew(DaemonId("d" + std::to_string(aNumber % aDaemons)),
                        0.01,
                        kStart + 10s)
                .mShare;
  });
  Show("account share allocator, daemons",
       aDaemons,
       Format(micros, 1, " us a renewal"));
  PrintSlope(
    "shares", "micros_" + std::to_string(aDaemons), shares < 0 ? 0 : micros);
}

} // namespace

int
main()
{
  for (const std::size_t n : { 8, 64, 512 }) {
    MeasureQueue(n);
  }
  for (const std::size_t n : { 300, 4000 }) {
    MeasureDirectory(n);
  }
  for (const std::size_t n : { 4, 32 }) {
    MeasurePlanner(16, n);
    MeasurePlanner(64, n);
  }
  for (const std::size_t n : { 1, 16, 64 }) {
    MeasureClaims(n);
  }
  for (const std::size_t n : { 10, 1000 }) {
    MeasureQuarantine(n);
  }
  for (const std::size_t n : { 8, 57, 400 }) {
    MeasureShares(n);
  }
  return 0;
}
