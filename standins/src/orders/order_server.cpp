#include "orders/order_server.h"

#include <algorithm>

namespace bilberrytrail::standins {

namespace {

constexpr std::uint64_t kStockAtStart = 1'000'000;

} // namespace

OrderServer::OrderServer(Loop& aLoop, const OrderSettings& aSettings)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mFaults({ "book", "stock" })
  , mServer(aLoop, mFaults)
{
  mServer.OnJson(
    "/book", "book", [this](const Json& aJson) { return Book(aJson); });
  mServer.On("GET", "/stock", "stock", [this](const HttpRequest&) {
    return ReadStock();
  });
  mServer.On("GET", "/stats", [this](const HttpRequest&) {
    return JsonResponse(Stats());
  });
}

HttpResponse
OrderServer::Book(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto order = fields.Text("order");
  if (const auto ok = fields.Check(); !ok) {
    return ErrorResponse(400, ok.error().mMessage);
  }
  const auto slot = mBook.Book(order);
  static_cast<void>(mLoop.Sleep(mSettings.mBookTime));
  return JsonResponse({ { "order", order }, { "slot", slot } }, 201);
}

HttpResponse
OrderServer::ReadStock()
{
  static_cast<void>(mLoop.Sleep(mSettings.mStockTime));
  ++mStockReads;
  const auto taken = std::min(mBook.Slots(), kStockAtStart);
  return JsonResponse({ { "stock", kStockAtStart - taken } });
}

Json
OrderServer::Stats() const
{
  return { { "slots", mBook.Slots() },
           { "double_runs", mBook.DoubleRuns() },
           { "stock_reads", mStockReads },
           { "runs", mBook.Runs() } };
}

} // namespace bilberrytrail::standins
