#include "engine/answer_text.h"
#include "engine/event_log.h"
#include "engine/slot_queue.h"
#include "engine/version_table.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr Instant kStart{};

EngineOrder
MakeOrder(OrderKind aKind, std::uint64_t aFencing)
{
  EngineOrder order;
  order.mKind = aKind;
  order.mFencing = FencingNumber(aFencing);
  order.mModel = ModelId("m");
  order.mVersion = VersionId("v");
  return order;
}

std::vector<std::uint64_t>
Sequences(const std::vector<EngineEvent>& aEvents)
{
  std::vector<std::uint64_t> numbers;
  numbers.reserve(aEvents.size());
  for (const auto& event : aEvents) {
    numbers.push_back(event.mSequence);
  }
  return numbers;
}

} // namespace

TEST_CASE("slots go to the highest priority, then in order of arrival")
{
  SlotQueue queue(1);
  const auto low = queue.Enqueue(EnginePriority::Low);
  const auto normal = queue.Enqueue(EnginePriority::Normal);
  const auto high1 = queue.Enqueue(EnginePriority::High);
  const auto high2 = queue.Enqueue(EnginePriority::High);
  const auto gone = queue.Enqueue(EnginePriority::High);
  CHECK(queue.Abandon(gone));
  CHECK_FALSE(queue.Abandon(gone));
  for (const auto expected : { high1, high2, normal, low }) {
    CHECK(queue.Admit() == expected);
    CHECK_FALSE(queue.Admit().has_value());
    queue.Release();
  }
  CHECK_FALSE(queue.Admit().has_value());
  CHECK(queue.Running() == 0);
}

TEST_CASE("an order with an old fencing number is refused where it is checked")
{
  struct Row
  {
    bool mChecksFencing;
    std::uint64_t mFencing;
    bool mObeyed;
  };
  const Row rows[] = {
    { true, 4, false }, { true, 5, true }, { true, 6, true }, { false, 4, true }
  };
  for (const auto& row : rows) {
    CAPTURE(row.mFencing);
    VersionTable table(row.mChecksFencing);
    REQUIRE(table.Obey(MakeOrder(OrderKind::LoadVersion, 5)).value());
    const auto obeyed =
      table.Obey(MakeOrder(OrderKind::UnloadVersion, row.mFencing));
    CHECK(obeyed.has_value() == row.mObeyed);
    EngineState state;
    table.Describe(state);
    CHECK(state.mVersions.empty() == row.mObeyed);
  }
}

TEST_CASE("a version unloaded while it loads does not become ready")
{
  VersionTable table(true);
  REQUIRE(table.Obey(MakeOrder(OrderKind::LoadVersion, 1)).value());
  CHECK_FALSE(table.Obey(MakeOrder(OrderKind::LoadVersion, 1)).value());
  CHECK_FALSE(table.IsReady(ModelId("m"), VersionId("v")));
  REQUIRE(table.Obey(MakeOrder(OrderKind::UnloadVersion, 1)));
  table.MarkReady(ModelId("m"), VersionId("v"));
  CHECK_FALSE(table.IsReady(ModelId("m"), VersionId("v")));
}

TEST_CASE("events are seen after the lag, with gaps, from the given number on")
{
  struct Row
  {
    std::uint64_t mAfter;
    Instant mNow;
    std::vector<std::uint64_t> mSeen;
  };
  const Row rows[] = { { 0, kStart + 9ms, {} },
                       { 0, kStart + 10ms, { 1, 2, 4, 5 } },
                       { 2, kStart + 10ms, { 4, 5 } },
                       { 5, kStart + 10ms, {} },
                       { 99, kStart + 10ms, { 1, 2, 4, 5 } } };
  EventLog log(10ms, 3);
  for (int n = 0; n < 5; ++n) {
    log.Append(EngineEvent(), kStart);
  }
  for (const auto& row : rows) {
    CAPTURE(row.mAfter);
    CHECK(Sequences(log.ReadAfter(row.mAfter, row.mNow)) == row.mSeen);
  }
}

TEST_CASE("an answer is a function of its prompt and can be resumed anywhere")
{
  const Answer answer("a long sheet");
  const auto whole = answer.Text(0, 9);
  for (std::uint32_t n = 0; n <= 9; ++n) {
    CHECK(answer.Text(0, n) + answer.Text(n, 9) == whole);
  }
  CHECK(Answer("another sheet").Text(0, 9) != whole);
  CHECK(AnswerLength("sheet", 9) == 9);
  CHECK(AnswerLength("sheet [[tokens=4]]", 9) == 4);
  CHECK(AnswerLength("sheet [[tokens=40]]", 9) == 9);
}
