#include "fleet_site.h"

#include <boost/asio.hpp>

#include <doctest/doctest.h>

using namespace bilberrytrail;
using namespace bilberrytrail::standins;

// Guards against callers whose bodies use up the memory for messages, so that
// the daemon can no longer read a large configuration.
TEST_CASE("a large configuration is read while callers' bodies fill the memory")
{
  constexpr int kCallers = 12;
  constexpr std::size_t kKeys = 9000;
  FleetSite site;
  site.mMemoryMb = 16;
  site.Run(1, [&] {
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> callers;
    const auto& to = site.mSettings[0].mCallers;
    for (int n = 0; n < kCallers; ++n) {
      callers.emplace_back(context);
      callers.back().connect(
        { boost::asio::ip::make_address(to.mHost), to.mPort });
      // The body does not come.
      boost::asio::write(callers.back(),
                         boost::asio::buffer(std::string(
                           "POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
                           "Content-Length: 400000\r\n\r\n")));
    }
    (void)site.mLoop.Sleep(300ms);
    std::vector<std::string> keys{ "key", "new" };
    for (std::size_t n = 0; n < kKeys; ++n) {
      keys.push_back("a-key-of-some-length-" + std::to_string(n));
    }
    site.mTable.Put("op", "config", SmallSiteConfig(2, keys));
    const auto end = MonotonicNow() + 2s;
    unsigned status = 0;
    for (int n = 0; status != 200 && MonotonicNow() < end; ++n) {
      status = site.Status(0, "a" + std::to_string(n), "/order/1", "new");
      (void)site.mLoop.Sleep(20ms);
    }
    CHECK(status == 200);
  });
}
