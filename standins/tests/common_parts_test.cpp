#include "common/fault.h"
#include "common/json_server.h"
#include "common/options.h"
#include "common/rate_limiter.h"
#include "orders/order_book.h"
#include "platform/lagging_list.h"
#include "platform/table.h"

#include <doctest/doctest.h>

#include <array>
#include <vector>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

namespace {

constexpr Instant kStart{};

Result<Options>
ParseOptions(std::vector<std::string> aArguments)
{
  constexpr std::array kSpecs{
    OptionSpec{ "port", OptionKind::Number, "0", "" },
    OptionSpec{ "name", OptionKind::Text, "x", "" },
    OptionSpec{ "loud", OptionKind::Flag, "false", "" },
  };
  aArguments.insert(aArguments.begin(), "program");
  std::vector<char*> pointers;
  pointers.reserve(aArguments.size() + 1);
  for (auto& argument : aArguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  return Options::Parse(
    static_cast<int>(aArguments.size()), pointers.data(), kSpecs);
}

} // namespace

TEST_CASE("a command line is read or refused")
{
  struct Row
  {
    std::vector<std::string> mArguments;
    bool mValid;
  };
  const Row rows[] = { { {}, true },
                       { { "--port", "8", "--loud", "--name=y" }, true },
                       { { "--port", "8x" }, false },
                       { { "--port", "-1" }, false },
                       { { "--port" }, false },
                       { { "--colour", "red" }, false },
                       { { "stray" }, false } };
  for (const auto& row : rows) {
    CHECK(ParseOptions(row.mArguments).has_value() == row.mValid);
  }
  const auto options = ParseOptions({ "--port", "8", "--loud" });
  CHECK(options.value().Unsigned("port") == 8);
  CHECK(options.value().Text("name") == "x");
  CHECK(options.value().Flag("loud"));
}

TEST_CASE("a fault holds for its number of calls")
{
  FaultTable faults({ "table", "list" });
  const Json two{ { "table", "slow" }, { "delay_ms", 5 }, { "count", 2 } };
  REQUIRE(faults.Set(two));
  CHECK(faults.Of("table").Take().mDelay == 5ms);
  CHECK(faults.Of("table").Take().mMode == FaultMode::Slow);
  CHECK(faults.Of("table").Take().mMode == FaultMode::Up);
  CHECK(faults.Of("list").Take().mMode == FaultMode::Up);
  REQUIRE(faults.Set({ { "table", "down" } }));
  for (int n = 0; n < 5; ++n) {
    CHECK(faults.Of("table").Take().mMode == FaultMode::Down);
  }
}

TEST_CASE("a malformed fault changes nothing")
{
  FaultTable faults({ "table", "list" });
  const Json rows[] = { Json::array(),
                        { { "table", "broken" } },
                        { { "cupboard", "down" } },
                        { { "table", "down" }, { "list", 3 } },
                        { { "table", "down" }, { "count", "two" } } };
  for (const auto& row : rows) {
    CHECK_FALSE(faults.Set(row).has_value());
    CHECK(faults.Of("table").Take().mMode == FaultMode::Up);
  }
}

TEST_CASE("queries and escapes of a target are read")
{
  CHECK(PathOf("/a/b?c=d") == "/a/b");
  CHECK(QueryValue("/a?b=1&cc=x%20y", "cc") == "x y");
  CHECK_FALSE(QueryValue("/a?cc=1", "c").has_value());
  CHECK_FALSE(QueryValue("/a", "c").has_value());
  CHECK(UnescapePathSegment("%2F%zz%4") == "/%zz%4");
}

TEST_CASE("a limited resource serves one use after the other")
{
  RateLimiter link(1000);
  CHECK(link.Reserve(kStart, 100) == kStart + 100ms);
  CHECK(link.Reserve(kStart, 100) == kStart + 200ms);
  CHECK(link.Reserve(kStart + 1s, 100) == kStart + 1100ms);
  CHECK(RateLimiter(0).Reserve(kStart, 100) == kStart);
}

TEST_CASE("a transaction applies all writes or none")
{
  struct Row
  {
    const char* mName;
    std::vector<TableWrite> mWrites;
    bool mCommitted;
    std::size_t mCurrent;
  };
  const Row rows[] = {
    { "new row", { { "b", "y", 0 } }, true, 0 },
    { "next version", { { "a", "y", 1 } }, true, 0 },
    { "exists already", { { "a", "y", 0 } }, false, 1 },
    { "does not exist", { { "b", "y", 1 } }, false, 1 },
    { "one of two differs", { { "b", "y", 0 }, { "a", "y", 2 } }, false, 1 },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mName);
    Table table;
    REQUIRE(table.Commit({ { "a", "x", 0 } }).mCommitted);
    const auto outcome = table.Commit(row.mWrites);
    CHECK(outcome.mCommitted == row.mCommitted);
    CHECK(outcome.mCurrent.size() == row.mCurrent);
    const auto written = table.Read(row.mWrites[0].mKey);
    CHECK((written && written->mValue == "y") == row.mCommitted);
  }
}

TEST_CASE("a scan returns the rows of its prefix in order, up to the limit")
{
  Table table;
  REQUIRE(table
            .Commit({ { "b2", "", 0 },
                      { "a", "", 0 },
                      { "b1", "", 0 },
                      { "b3", "", 0 },
                      { "c", "", 0 } })
            .mCommitted);
  const auto rows = table.Scan("b", 2);
  REQUIRE(rows.size() == 2);
  CHECK(rows[0].mKey == "b1");
  CHECK(rows[1].mKey == "b2");
}

TEST_CASE("a change of the list is seen after the lag")
{
  LaggingList list(10ms);
  list.Set({ 1 }, kStart);
  list.Set({ 2 }, kStart + 5ms);
  CHECK(list.Read(kStart + 9ms) == Json::array());
  CHECK(list.Read(kStart + 10ms) == Json({ 1 }));
  CHECK(list.Read(kStart + 20ms) == Json({ 2 }));
}

TEST_CASE("a double run of an order is counted")
{
  OrderBook book;
  static_cast<void>(book.Book("o1"));
  CHECK(book.DoubleRuns() == 0);
  CHECK(book.Book("o1") == 2);
  CHECK(book.RunsOf("o1") == 2);
  CHECK(book.RunsOf("o2") == 0);
  CHECK(book.DoubleRuns() == 1);
}
