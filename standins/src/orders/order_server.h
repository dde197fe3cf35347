#pragma once

#include "common/fault.h"
#include "common/json_server.h"
#include "orders/order_book.h"

namespace bilberrytrail::standins {

// Settings of an order service that stands in for a real one.
struct OrderSettings
{
  Duration mBookTime = 5ms;
  Duration mStockTime = 1ms;
};

// Plain order service: POST /book books a slot and may not be repeated, GET
// /stock may. Fault switches "book" and "stock".
class OrderServer
{
public:
  OrderServer(Loop& aLoop, const OrderSettings& aSettings);

  [[nodiscard]] HttpHandler& Handler() noexcept { return mServer; }

private:
  [[nodiscard]] HttpResponse Book(const Json& aJson);
  [[nodiscard]] HttpResponse ReadStock();
  [[nodiscard]] Json Stats() const;

  Loop& mLoop;
  OrderSettings mSettings;
  FaultTable mFaults;
  JsonServer mServer;
  OrderBook mBook;
  std::uint64_t mStockReads = 0;
};

} // namespace bilberrytrail::standins
