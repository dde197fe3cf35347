#include <bilberrytrail/entry/entry_daemon.h>
#include <bilberrytrail/fleet/fleet_platform.h>

#include <boost/asio.hpp>

#include <doctest/doctest.h>

#include <thread>

using namespace bilberrytrail;

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

const auto kLoopback = boost::asio::ip::address_v4::loopback();

// The sockets that hold the addresses of a daemon.
struct Taken
{
  boost::asio::io_context mContext;
  std::vector<tcp::acceptor> mAcceptors;
  std::optional<udp::socket> mDatagrams;
};

Endpoint
Take(Taken& aTaken)
{
  aTaken.mAcceptors.emplace_back(aTaken.mContext, tcp::endpoint(kLoopback, 0));
  return { "127.0.0.1", aTaken.mAcceptors.back().local_endpoint().port() };
}

} // namespace

// Guards against a daemon that ends at its start since the process before it,
// which is about to end, still holds its addresses.
TEST_CASE("a daemon waits at its start for addresses that are still taken")
{
  for (const bool isDatagram : { false, true }) {
    CAPTURE(isDatagram);
    Taken taken;
    EntrySettings settings;
    settings.mName = DaemonId("d0");
    settings.mZone = ZoneId("z");
    settings.mStopTime = 3s;
    settings.mStore = { "127.0.0.1", 1 };
    for (auto* it : { &settings.mCallers,
                      &settings.mReadiness,
                      &settings.mPeers,
                      &settings.mMetrics }) {
      *it = Take(taken);
    }
    taken.mDatagrams.emplace(taken.mContext,
                             udp::endpoint(kLoopback, settings.mPeers.mPort));
    if (isDatagram) {
      taken.mAcceptors.clear();
    } else {
      taken.mDatagrams.reset();
    }
    const auto platform = MakeFleetPlatform();
    EntryDaemon daemon(settings, *platform);
    std::thread before([&] {
      std::this_thread::sleep_for(700ms);
      taken.mAcceptors.clear();
      taken.mDatagrams.reset();
    });
    const auto start = MonotonicNow();
    const auto ok = daemon.Start();
    before.join();
    CHECK(ok.has_value());
    CHECK(MonotonicNow() - start >= 600ms);
    if (ok) {
      daemon.Drain();
      daemon.Join();
    }
  }
}
