#include "platform/table.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;
using bilberrytrail::standins::Table;

TEST_CASE("a row that is created again never repeats a version")
{
  Table table;
  REQUIRE(table.Commit({ { "k", "first", 0 } }).mCommitted);
  REQUIRE(table.Commit({ { "k", "second", 1 } }).mCommitted);
  CHECK_FALSE(table.Commit({ { "k", "", 1, true } }).mCommitted);
  REQUIRE(table.Commit({ { "k", "", 2, true } }).mCommitted);
  CHECK_FALSE(table.Read("k").has_value());
  CHECK(table.Scan("k", 10).empty());

  // A write that is late by one life of the row must not match.
  CHECK_FALSE(table.Commit({ { "k", "late", 2 } }).mCommitted);
  REQUIRE(table.Commit({ { "k", "third", 0 } }).mCommitted);
  CHECK(table.Read("k")->mVersion == 3);
  REQUIRE(table.Commit({ { "k", "", 3, true } }).mCommitted);
  REQUIRE(table.Commit({ { "k", "fourth", 0 } }).mCommitted);
  CHECK(table.Read("k")->mVersion == 4);
}

TEST_CASE("an erasure takes part in its transaction")
{
  Table table;
  REQUIRE(table.Commit({ { "a", "x", 0 } }).mCommitted);
  const auto outcome = table.Commit({ { "a", "", 1, true }, { "b", "y", 5 } });
  CHECK_FALSE(outcome.mCommitted);
  CHECK(table.Read("a").has_value());
}
