#include <bilberrytrail/traffic/server_queue.h>

#include <doctest/doctest.h>

#include <string>

using namespace bilberrytrail;

namespace {

constexpr Instant kStart{ 100s };

QueueEntry
Entry(std::uint64_t aTicket,
      const char* aAccount,
      WorkClass aClass,
      Duration aService = 100ms,
      Duration aDeadline = 1000s)
{
  return { Ticket(aTicket), AccountId(aAccount), aClass, 100,
           aService,        kStart + aDeadline };
}

// Returns the actions as text such as "grant 1, pause 2".
std::string
ToString(const QueueActions& aActions)
{
  std::string text;
  const auto add = [&](const char* aVerb, Ticket aTicket) {
    text += (text.empty() ? "" : ", ") + std::string(aVerb) + " " +
            std::to_string(aTicket.Value());
  };
  for (const auto& action : aActions) {
    if (const auto* grant = std::get_if<GrantAction>(&action)) {
      add("grant", grant->mTicket);
    } else if (const auto* refuse = std::get_if<RefuseAction>(&action)) {
      add(ToName(refuse->mReason).data(), refuse->mTicket);
    } else if (const auto* pause = std::get_if<PauseAction>(&action)) {
      add("pause", pause->mTicket);
    } else if (const auto* resume = std::get_if<ResumeAction>(&action)) {
      add("resume", resume->mTicket);
    }
  }
  return text;
}

QueueSettings
Sized(std::uint32_t aSlots, std::uint32_t aShort, std::uint32_t aDraft)
{
  QueueSettings settings;
  settings.mSlots = aSlots;
  settings.mShortSlots = aShort;
  settings.mDraftSlots = aDraft;
  settings.mBurstTokens = 200;
  return settings;
}

} // namespace

TEST_CASE("slots are divided among work classes")
{
  struct Row
  {
    std::string mName;
    QueueSettings mSettings;
    const char* mOffered; // r, s or d for each entry
    std::size_t mGranted;
  };
  const Row rows[] = {
    { "drafts leave slots for short work", Sized(4, 2, 1), "dddd", 2 },
    { "short work may use all slots without drafts",
      Sized(4, 2, 1),
      "rsrsrs",
      4 },
    { "short work gets its reserved slots", Sized(4, 2, 1), "ddddss", 4 },
    { "a single slot also serves drafts", Sized(1, 2, 1), "dd", 1 },
    { "no slots", Sized(0, 2, 1), "rsd", 0 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto queue = MakeFairServerQueue(row.mSettings);
    std::uint64_t ticket = 0;
    for (const char c : std::string(row.mOffered)) {
      const auto workClass = c == 'r'   ? WorkClass::Read
                             : c == 's' ? WorkClass::Short
                                        : WorkClass::Draft;
      (void)queue->Offer(Entry(ticket++, "a", workClass), kStart);
    }
    CHECK(queue->Running() == row.mGranted);
    CHECK(queue->Waiting() == ticket - row.mGranted);
  }
}

TEST_CASE("drafts keep their reserved slots under continuous short work")
{
  const auto queue = MakeFairServerQueue(Sized(4, 1, 1));
  for (std::uint64_t n = 0; n < 8; ++n) {
    (void)queue->Offer(Entry(n, "a", WorkClass::Short), kStart);
  }
  (void)queue->Offer(Entry(9, "a", WorkClass::Draft), kStart);
  CHECK(ToString(queue->Finish(Ticket(0), kStart)) == "grant 9");
  CHECK(ToString(queue->Finish(Ticket(1), kStart)) == "grant 4");
}

TEST_CASE("accounts with equal costs alternate within a lane")
{
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  (void)queue->Offer(Entry(0, "big", WorkClass::Draft), kStart);
  for (std::uint64_t n = 1; n <= 4; ++n) {
    (void)queue->Offer(Entry(n, "big", WorkClass::Draft), kStart);
  }
  (void)queue->Offer(Entry(11, "small", WorkClass::Draft), kStart);
  (void)queue->Offer(Entry(12, "small", WorkClass::Draft), kStart);
  std::string order;
  std::uint64_t running = 0;
  for (int n = 0; n < 6; ++n) {
    const auto actions = queue->Finish(Ticket(running), kStart);
    REQUIRE(actions.size() == 1);
    running = std::get<GrantAction>(actions[0]).mTicket.Value();
    order += std::to_string(running) + " ";
  }
  CHECK(order == "11 1 12 2 3 4 ");
}

TEST_CASE("an account gains only its burst by queueing one entry at a time")
{
  // "often" has one entry waiting at a time, "steady" has many.
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  (void)queue->Offer(Entry(0, "steady", WorkClass::Draft), kStart);
  for (std::uint64_t n = 1; n <= 20; ++n) {
    (void)queue->Offer(Entry(n, "steady", WorkClass::Draft), kStart);
  }
  std::uint64_t running = 0;
  int often = 0;
  bool waits = false;
  for (std::uint64_t n = 0; n < 20; ++n) {
    if (!waits) {
      (void)queue->Offer(Entry(100 + n, "often", WorkClass::Draft), kStart);
    }
    const auto actions = queue->Finish(Ticket(running), kStart);
    REQUIRE(actions.size() == 1);
    running = std::get<GrantAction>(actions[0]).mTicket.Value();
    waits = running < 100;
    often += waits ? 0 : 1;
  }
  // Half of the turns, plus at most the burst of two entries.
  CHECK(often >= 10);
  CHECK(often <= 13);
}

TEST_CASE("an account with little recent work may start its burst first")
{
  const auto queue = MakeFairServerQueue(Sized(4, 0, 4));
  for (std::uint64_t n = 0; n < 8; ++n) {
    (void)queue->Offer(Entry(n, "big", WorkClass::Draft), kStart);
  }
  for (std::uint64_t n = 10; n < 14; ++n) {
    (void)queue->Offer(Entry(n, "small", WorkClass::Draft), kStart);
  }
  CHECK(ToString(queue->Finish(Ticket(0), kStart)) == "grant 10");
  CHECK(ToString(queue->Finish(Ticket(1), kStart)) == "grant 11");
  CHECK(ToString(queue->Finish(Ticket(10), kStart)) == "grant 12");
  CHECK(ToString(queue->Finish(Ticket(2), kStart)) == "grant 4");
  CHECK(ToString(queue->Finish(Ticket(3), kStart)) == "grant 13");
}

TEST_CASE("accounts get equal tokens whatever the costs of their entries")
{
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  const auto offer =
    [&](std::uint64_t aTicket, const char* aAccount, double aCost) {
      auto entry = Entry(aTicket, aAccount, WorkClass::Draft);
      entry.mCostTokens = aCost;
      (void)queue->Offer(entry, kStart);
    };
  offer(0, "x", 1);
  for (std::uint64_t n = 0; n < 20; ++n) {
    offer(100 + n, "wide", 40000);
    offer(200 + n, "narrow", 10000);
  }
  std::uint64_t running = 0;
  int wide = 0;
  for (int n = 0; n < 15; ++n) {
    const auto actions = queue->Finish(Ticket(running), kStart);
    REQUIRE(actions.size() == 1);
    running = std::get<GrantAction>(actions[0]).mTicket.Value();
    wide += running < 200 ? 1 : 0;
  }
  CHECK(wide == 3);
}

TEST_CASE("an entry is refused when offered if its wait exceeds the deadline")
{
  struct Row
  {
    std::string mName;
    Duration mDeadline;
    const char* mActions;
  };
  // One slot; 100 ms of running and 200 ms of waiting work ahead of the entry.
  const Row rows[] = {
    { "fits", 500ms, "" },
    { "wait fits, but not the running time", 350ms, "deadline_too_short 9" },
    { "wait does not fit", 200ms, "deadline_too_short 9" },
    { "deadline passed", 0ms, "deadline_too_short 9" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
    for (std::uint64_t n = 0; n < 3; ++n) {
      (void)queue->Offer(Entry(n, "a", WorkClass::Short), kStart);
    }
    const auto entry = Entry(9, "a", WorkClass::Short, 100ms, row.mDeadline);
    CHECK(queue->PredictWait(entry, kStart) == Duration(300ms));
    const auto actions = queue->Offer(entry, kStart);
    CHECK(ToString(actions) == row.mActions);
    if (!actions.empty()) {
      const auto wait = std::get<RefuseAction>(actions[0]).mRetryAfter;
      // After the retry time the same request would be accepted.
      CHECK(wait > 0ms);
      CHECK(wait <= 300ms);
    }
    CHECK(queue->Waiting() == (actions.empty() ? 3 : 2));
  }
}

TEST_CASE("a waiting entry is refused once it cannot meet its deadline")
{
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  (void)queue->Offer(Entry(0, "a", WorkClass::Short), kStart);
  (void)queue->Offer(Entry(1, "a", WorkClass::Short, 100ms, 1s), kStart);
  CHECK(queue->Tick(kStart + 800ms).empty());
  REQUIRE(queue->NextTick(kStart + 800ms) <= kStart + 900ms);
  CHECK(ToString(queue->Tick(kStart + 890ms)) == "deadline_too_short 1");
  CHECK(queue->Waiting() == 0);
}

TEST_CASE("a full queue evicts from the account with the most entries")
{
  auto settings = Sized(1, 0, 1);
  settings.mMaxWaiting = 4;
  const auto queue = MakeFairServerQueue(settings);
  for (std::uint64_t n = 0; n < 5; ++n) {
    (void)queue->Offer(Entry(n, "big", WorkClass::Draft), kStart);
  }
  CHECK(ToString(queue->Offer(Entry(5, "big", WorkClass::Draft), kStart)) ==
        "queue_full 5");
  CHECK(ToString(queue->Offer(Entry(6, "small", WorkClass::Short), kStart)) ==
        "queue_full 4");
  CHECK(queue->Waiting() == 4);
}

TEST_CASE("a draft past its estimate is paused for waiting work and resumed")
{
  struct Row
  {
    std::string mName;
    WorkClass mWaiting;
    Duration mAfter;
    const char* mActions;
  };
  const Row rows[] = {
    { "within its estimate", WorkClass::Short, 1900ms, "" },
    { "past its estimate, short work waits",
      WorkClass::Short,
      2100ms,
      "pause 0" },
    { "past its estimate, a draft waits", WorkClass::Draft, 2100ms, "pause 0" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
    (void)queue->Offer(Entry(0, "a", WorkClass::Draft, 1s), kStart);
    (void)queue->Offer(Entry(1, "b", row.mWaiting), kStart);
    const auto now = kStart + row.mAfter;
    CHECK(ToString(queue->Tick(now)) == row.mActions);
    CHECK(queue->Running() == 1);
    if (std::string(row.mActions).empty()) {
      continue;
    }
    CHECK(queue->Tick(now).empty());
    CHECK(ToString(queue->ConfirmPaused(Ticket(0), now)) == "grant 1");
    CHECK(queue->Paused() == 1);
    CHECK(ToString(queue->Finish(Ticket(1), now)) == "resume 0");
    CHECK(queue->Paused() == 0);
  }
}

TEST_CASE("drafts within their estimates are paused for waiting short work")
{
  const auto queue = MakeFairServerQueue(Sized(4, 1, 2));
  for (std::uint64_t n = 0; n < 4; ++n) {
    (void)queue->Offer(Entry(n, "a", WorkClass::Draft, 10s), kStart);
  }
  for (std::uint64_t n = 10; n < 14; ++n) {
    (void)queue->Offer(Entry(n, "b", WorkClass::Short), kStart + 1s);
  }
  const auto now = kStart + 1020ms;
  // Three drafts run; two of them are in reserved slots.
  const auto paused = queue->Tick(now);
  REQUIRE(ToString(paused) == "pause 0");
  CHECK(queue->Tick(now).empty());
  CHECK(ToString(queue->ConfirmPaused(Ticket(0), now)) == "grant 11");
  CHECK(ToString(queue->Finish(Ticket(10), now)) == "grant 12");
  CHECK(ToString(queue->Finish(Ticket(11), now)) == "grant 13");
  // The slot stays reserved for short work for 3 s; then the paused draft is
  // resumed before the waiting one starts.
  CHECK(queue->Finish(Ticket(12), now + 1s).empty());
  REQUIRE(queue->NextTick(now + 1s).has_value());
  CHECK(queue->Tick(now + 2999ms).empty());
  CHECK(ToString(queue->Tick(now + 3s)) == "resume 0");
}

TEST_CASE("a paused draft is resumed, refused or cancelled")
{
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  (void)queue->Offer(Entry(0, "a", WorkClass::Draft, 1s, 60s), kStart);
  (void)queue->Offer(Entry(1, "b", WorkClass::Draft, 100s), kStart);
  (void)queue->Offer(Entry(2, "b", WorkClass::Draft), kStart);
  const auto now = kStart + 3s;
  (void)queue->Tick(now);
  (void)queue->ConfirmPaused(Ticket(0), now);
  SUBCASE("resumed before waiting drafts after the maximum pause")
  {
    CHECK(ToString(queue->Finish(Ticket(1), now + 11s)) == "resume 0");
  }
  SUBCASE("refused when its deadline passes")
  {
    CHECK(ToString(queue->Tick(kStart + 60s)) == "deadline_passed 0");
    CHECK(queue->Paused() == 0);
  }
  SUBCASE("cancelled by its caller")
  {
    CHECK(ToString(queue->Cancel(Ticket(0), now)).empty());
    CHECK(queue->Paused() == 0);
  }
}

TEST_CASE("a draft that finishes while it is being paused is not resumed")
{
  const auto queue = MakeFairServerQueue(Sized(1, 0, 1));
  (void)queue->Offer(Entry(0, "a", WorkClass::Draft, 1s), kStart);
  (void)queue->Offer(Entry(1, "b", WorkClass::Short), kStart);
  CHECK(ToString(queue->Tick(kStart + 3s)) == "pause 0");
  CHECK(ToString(queue->Finish(Ticket(0), kStart + 3s)) == "grant 1");
  CHECK(queue->ConfirmPaused(Ticket(0), kStart + 3s).empty());
  CHECK(queue->Paused() == 0);
}

TEST_CASE("both queues cancel, drain and change slots in the same way")
{
  using Make = std::unique_ptr<ServerQueue> (*)(const QueueSettings&);
  for (const Make make : { MakeFairServerQueue, MakeFifoServerQueue }) {
    const auto queue = make(Sized(1, 0, 1));
    CHECK(ToString(queue->Offer(Entry(0, "a", WorkClass::Short), kStart)) ==
          "grant 0");
    for (std::uint64_t n = 1; n <= 4; ++n) {
      CHECK(queue->Offer(Entry(n, "a", WorkClass::Short), kStart).empty());
    }
    CHECK(queue->Cancel(Ticket(1), kStart).empty());
    CHECK(ToString(queue->Cancel(Ticket(0), kStart)) == "grant 2");
    CHECK(ToString(queue->SetSlots(2, kStart)) == "grant 3");
    const auto drained = queue->Drain(kStart);
    REQUIRE(drained.size() == 1);
    CHECK(drained[0].mTicket == Ticket(4));
    CHECK(ToString(queue->Offer(Entry(5, "a", WorkClass::Short), kStart)) ==
          "draining 5");
    CHECK(queue->Running() == 2);
    CHECK(queue->Finish(Ticket(2), kStart).empty());
    CHECK(queue->Finish(Ticket(77), kStart).empty());
    CHECK(queue->Running() == 1);
  }
}
