#include "running_site.h"

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

SiteShape
OrderShape()
{
  SiteShape shape;
  shape.mEngines = 1;
  shape.mStores = false;
  shape.mOrderServers = 2;
  return shape;
}

void
SetOrderFault(RunningSite& aSite, const std::string& aJson)
{
  for (const auto& server : aSite->OrderServers()) {
    aSite->SetFault(server.mEndpoint, aJson);
  }
}

// Checks what must hold after any answer: at most one run, none when the
// caller was told so, one when it was told that it ran.
void
CheckTruth(RunningSite& aSite, const Booking& aBooking, const char* aOrder)
{
  const auto runs = aSite.RunsOf(aOrder);
  CAPTURE(aBooking.mStatus);
  CAPTURE(aBooking.mBody);
  CHECK(runs <= 1);
  if (aBooking.mDisposition == "not_run") {
    CHECK(runs == 0);
  }
  if (aBooking.mStatus / 100 == 2) {
    CHECK(runs == 1);
  }
}

// A fault of the table or of the order service while a booking is made.
struct Row
{
  const char* mOrder;
  // Faults of the platform and of the order servers.
  const char* mPlatform;
  const char* mOrders;
  // Disposition of the first answer, or empty when the booking succeeds.
  const char* mDisposition;
  // The same key succeeds or is known once the faults are over.
  bool mResendSucceeds;
};

constexpr Row kRows[] = {
  { "table-down", R"({"table":"down"})", nullptr, "not_run", true },
  { "table-fails", R"({"table":"fail"})", nullptr, "not_run", true },
  { "table-refuses", R"({"table":"refuse"})", nullptr, "not_run", true },
  { "replies-lost-1",
    R"({"table":"lose_replies","count":1})",
    nullptr,
    nullptr,
    true },
  { "replies-lost-2",
    R"({"table":"lose_replies","count":2})",
    nullptr,
    nullptr,
    true },
  { "replies-lost-3",
    R"({"table":"lose_replies","count":3})",
    nullptr,
    nullptr,
    true },
  { "table-slow", R"({"table":"slow","delay_ms":300})", nullptr, "", true },
  { "service-refuses", nullptr, R"({"book":"refuse"})", "not_run", true },
  { "service-fails", nullptr, R"({"book":"fail"})", nullptr, false },
  { "service-loses", nullptr, R"({"book":"lose_replies"})", "unknown", false },
};

} // namespace

TEST_CASE("A booking runs at most once and a refusal as not run is true, "
          "whatever fails")
{
  RunningSite site(OrderShape());
  for (const auto& row : kRows) {
    CAPTURE(std::string(row.mOrder));
    if (row.mPlatform != nullptr) {
      site->SetFault(site->Platform().mEndpoint, row.mPlatform);
    }
    if (row.mOrders != nullptr) {
      SetOrderFault(site, row.mOrders);
    }
    const auto first = site.Book(0, row.mOrder, row.mOrder);
    CheckTruth(site, first, row.mOrder);
    if (row.mDisposition != nullptr) {
      CHECK(first.mDisposition == row.mDisposition);
    }
    site->SetFault(site->Platform().mEndpoint, R"({"table":"up"})");
    SetOrderFault(site, R"({"book":"up"})");
    Booking again;
    const auto isSettled = [&] {
      again = site.Book(1, row.mOrder, row.mOrder);
      CheckTruth(site, again, row.mOrder);
      return again.mDisposition != "not_run";
    };
    // A server that refused gets no work for a moment.
    CHECK(site->Await(kPatience, isSettled));
    CAPTURE(again.mBody);
    CHECK((again.mStatus / 100 == 2) == row.mResendSucceeds);
  }
}

TEST_CASE("A booking cut by the death of the order server is unknown and not "
          "sent to another server")
{
  RunningSite site(OrderShape());
  SetOrderFault(site, R"({"book":"die"})");
  const auto first = site.Book(0, "dies", "dies");
  CAPTURE(first.mBody);
  CHECK(first.mDisposition == "unknown");
  int dead = 0;
  for (const auto& server : site->OrderServers()) {
    dead += server.mProcess->Wait(1s).has_value() ? 1 : 0;
  }
  CHECK(dead == 1);
  // The other server would run it now.
  for (const auto& server : site->OrderServers()) {
    if (!server.mProcess->Poll()) {
      site->SetFault(server.mEndpoint, R"({"book":"up"})");
    }
  }
  const auto again = site.Book(1, "dies", "dies");
  CAPTURE(again.mBody);
  CHECK(again.mStatus / 100 != 2);
  CHECK(again.mDisposition != "not_run");
  CHECK(site.RunsOf("dies") == 0);
}

TEST_CASE("A booking under way when its home is killed runs at most once, "
          "and a resend says that its fate is unknown")
{
  RunningSite site(OrderShape());
  const std::size_t home = site.HomeOf("orders-1");
  const std::size_t entry = (home + 1) % 3;
  // The other order server is out of use, so the home of this one is known.
  site->PublishList({ "orders-2" });
  REQUIRE(site->Await(kPatience, [&] {
    const Json status = site.Status(entry);
    for (const auto& it : status["servers"]) {
      if (it.value("name", "") == "orders-2") {
        return it.value("state", "") == "leaving";
      }
    }
    return false;
  }));
  SetOrderFault(site, R"({"book":"slow","delay_ms":1500})");
  auto first = std::async(std::launch::async,
                          [&] { return site.Book(entry, "cut", "cut"); });
  // The claim row stands when the call is under way.
  REQUIRE(site->Await(kPatience, [&] {
    const auto scan = site->Call(
      site->Platform().mEndpoint,
      { "POST", "/table/scan", {}, R"({"prefix":"claim","limit":10})" });
    const auto json = ParseJson(scan.mBody);
    return json && !json.value()["rows"].empty();
  }));
  site.Kill(site->Daemons()[home]);
  const auto booking = first.get();
  CAPTURE(booking.mBody);
  CHECK(booking.mDisposition == "unknown");
  const auto again = site.Book((home + 2) % 3, "cut", "cut");
  CAPTURE(again.mBody);
  CHECK(again.mStatus / 100 != 2);
  CHECK(again.mDisposition != "not_run");
  SetOrderFault(site, R"({"book":"up"})");
  CHECK(site.RunsOf("cut") <= 1);
}

TEST_CASE("Two daemons that get the same key at once run the booking once")
{
  RunningSite site(OrderShape());
  SetOrderFault(site, R"({"book":"slow","delay_ms":100})");
  for (int n = 0; n < 10; ++n) {
    const std::string key = "race-" + std::to_string(n);
    auto other =
      std::async(std::launch::async, [&] { return site.Book(1, key, key); });
    const auto mine = site.Book(0, key, key);
    const auto theirs = other.get();
    CAPTURE(mine.mBody);
    CAPTURE(theirs.mBody);
    CHECK(site.RunsOf(key) == 1);
    CHECK((mine.mStatus / 100 == 2 || theirs.mStatus / 100 == 2));
    CHECK(mine.mDisposition != "not_run");
    CHECK(theirs.mDisposition != "not_run");
    const auto later = site.Book(2, key, key);
    CHECK(later.mStatus / 100 == 2);
  }
}

TEST_CASE("A booking that one order server refuses before running is made at "
          "another one")
{
  RunningSite site(OrderShape());
  site->SetFault(site->OrderServers()[0].mEndpoint, R"({"book":"refuse"})");
  for (int n = 0; n < 6; ++n) {
    const std::string key = "refused-" + std::to_string(n);
    const auto booking = site.Book(static_cast<std::size_t>(n) % 3, key, key);
    CAPTURE(booking.mBody);
    CHECK(booking.mStatus / 100 == 2);
    CHECK(site.RunsOf(key) == 1);
  }
}
