#include "fleet/row_table.h"

#include <bilberrytrail/fleet/fleet_platform.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

// A page of large rows ends at its bytes, long before the rows asked for.
TEST_CASE("a table whose pages are short is read whole")
{
  struct Row
  {
    std::size_t mRows;
    std::size_t mPageRows;
  };
  for (const Row& row : { Row{ 0, 3 },
                          Row{ 3, 3 },
                          Row{ 10, 3 },
                          Row{ 10, 1 },
                          Row{ 1200, 500 } }) {
    CAPTURE(row.mRows);
    CAPTURE(row.mPageRows);
    Loop loop;
    RowTable table(loop);
    table.SetPageRows(row.mPageRows);
    for (std::size_t n = 0; n < row.mRows; ++n) {
      table.Put("servers", "i-" + std::to_string(n), "x");
    }
    HttpServer server(loop, HttpLimits());
    const auto port = server.Listen({ "127.0.0.1", 0 });
    REQUIRE(port.has_value());
    server.Serve(table);
    const auto platform = MakeFleetPlatform();
    const auto feed = platform->MakeFeed(loop, { "127.0.0.1", port.value() });
    loop.Spawn([&] {
      const auto rows =
        feed->ReadAll(SiteTable::Servers, AnswerLimits::Within(10s));
      REQUIRE(rows.has_value());
      CHECK(rows.value().mRows.size() == row.mRows);
      CHECK(rows.value().mVersion == table.Version());
      loop.Stop();
    });
    loop.Run();
  }
}
