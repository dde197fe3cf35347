#include "server_monitor.h"

#include <doctest/doctest.h>

namespace bilberrytrail {
namespace {

TEST_CASE("the order of an engine's events follows from their numbers")
{
  struct Row
  {
    std::uint64_t mLast;
    std::uint64_t mNumber;
    EventOrder mOrder;
  };
  const Row rows[] = {
    { 0, 1, EventOrder::Next },    { 0, 40, EventOrder::Next },
    { 7, 8, EventOrder::Next },    { 7, 9, EventOrder::Gap },
    { 7, 700, EventOrder::Gap },   { 7, 6, EventOrder::Restart },
    { 7, 7, EventOrder::Restart }, { 7, 1, EventOrder::Restart },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mLast);
    CAPTURE(row.mNumber);
    CHECK(OrderOf(row.mLast, row.mNumber) == row.mOrder);
  }
}

} // namespace
} // namespace bilberrytrail
