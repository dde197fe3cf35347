#include "common/fault_proxy.h"

#include <bilberrytrail/base/time.h>

#include <boost/asio.hpp>

#include <algorithm>
#include <list>
#include <thread>
#include <vector>

namespace bilberrytrail::standins {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kDelay = 80ms;
constexpr std::size_t kBufferBytes = 16 * 1024;

// A connection of a client and the one to the target.
class Link : public std::enable_shared_from_this<Link>
{
public:
  Link(asio::io_context& aContext, Tcp::socket aClient)
    : mClient(std::move(aClient))
    , mServer(aContext)
  {
  }

  void Start(const Tcp::endpoint& aTarget, LinkFault aFault)
  {
    SetFault(aFault);
    mServer.async_connect(
      aTarget, [self = shared_from_this()](const auto& aError) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Pump(self->mClient, self->mServer, self->mUp, true);
        self->Pump(self->mServer, self->mClient, self->mDown, false);
      });
  }
  void SetFault(LinkFault aFault)
  {
    if (mIsStuck) {
      return;
    }
    mFault = aFault;
    mIsStuck = aFault == LinkFault::Silent || aFault == LinkFault::OneWay;
    if (aFault == LinkFault::Reset) {
      Reset();
    }
  }
  [[nodiscard]] bool IsClosed() const
  {
    return !mClient.is_open() && !mServer.is_open();
  }
  void Reset()
  {
    for (auto* it : { &mClient, &mServer }) {
      boost::system::error_code ec;
      it->set_option(asio::socket_base::linger(true, 0), ec);
      it->close(ec);
    }
  }

private:
  using Buffer = std::vector<char>;

  void Pump(Tcp::socket& aFrom, Tcp::socket& aTo, Buffer& aBuf, bool aIsUp)
  {
    aBuf.resize(kBufferBytes);
    aFrom.async_read_some(
      asio::buffer(aBuf),
      [self = shared_from_this(), &aFrom, &aTo, &aBuf, aIsUp](
        const auto& aError, std::size_t aBytes) {
        if (aError) {
          self->Reset();
          return;
        }
        self->Forward(aFrom, aTo, aBuf, aIsUp, aBytes);
      });
  }
  void Forward(Tcp::socket& aFrom,
               Tcp::socket& aTo,
               Buffer& aBuf,
               bool aIsUp,
               std::size_t aBytes)
  {
    const bool isLost =
      mFault == LinkFault::Silent || (mFault == LinkFault::OneWay && !aIsUp);
    if (isLost) {
      Pump(aFrom, aTo, aBuf, aIsUp);
      return;
    }
    const auto write =
      [self = shared_from_this(), &aFrom, &aTo, &aBuf, aIsUp, aBytes] {
        asio::async_write(
          aTo,
          asio::buffer(aBuf, aBytes),
          [self, &aFrom, &aTo, &aBuf, aIsUp](const auto& aError, std::size_t) {
            if (aError) {
              self->Reset();
              return;
            }
            self->Pump(aFrom, aTo, aBuf, aIsUp);
          });
      };
    if (mFault != LinkFault::Delayed) {
      write();
      return;
    }
    auto timer =
      std::make_shared<asio::steady_timer>(mClient.get_executor(), kDelay);
    timer->async_wait([timer, write](const auto&) { write(); });
  }

  Tcp::socket mClient;
  Tcp::socket mServer;
  Buffer mUp;
  Buffer mDown;
  LinkFault mFault = LinkFault::None;
  bool mIsStuck = false;
};

Tcp::endpoint
ToTcp(const Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.mHost), aEndpoint.mPort };
}

} // namespace

class FaultProxy::Impl
{
public:
  Impl(const Endpoint& aListen, const Endpoint& aTarget)
    : mAcceptor(mContext, ToTcp(aListen))
    , mTarget(ToTcp(aTarget))
    , mAddress{ aListen.mHost, mAcceptor.local_endpoint().port() }
  {
    Accept();
    mThread = std::thread([this] { mContext.run(); });
  }
  ~Impl()
  {
    mContext.stop();
    mThread.join();
  }
  [[nodiscard]] const Endpoint& Address() const noexcept { return mAddress; }
  void SetFault(LinkFault aFault)
  {
    asio::post(mContext, [this, aFault] {
      mFault = aFault;
      for (const auto& it : mLinks) {
        it->SetFault(aFault);
      }
    });
  }

private:
  void Accept()
  {
    mAcceptor.async_accept([this](const auto& aError, Tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::erase_if(mLinks,
                    [](const auto& aLink) { return aLink->IsClosed(); });
      auto link = std::make_shared<Link>(mContext, std::move(aSocket));
      mLinks.push_back(link);
      if (mFault == LinkFault::Reset) {
        link->Reset();
      } else {
        link->Start(mTarget, mFault);
      }
      Accept();
    });
  }

  asio::io_context mContext;
  Tcp::acceptor mAcceptor;
  const Tcp::endpoint mTarget;
  const Endpoint mAddress;
  std::list<std::shared_ptr<Link>> mLinks;
  LinkFault mFault = LinkFault::None;
  std::thread mThread;
};

FaultProxy::FaultProxy(const Endpoint& aListen, const Endpoint& aTarget)
  : mImpl(std::make_unique<Impl>(aListen, aTarget))
{
}

FaultProxy::~FaultProxy() = default;

Endpoint
FaultProxy::Address() const
{
  return mImpl->Address();
}

void
FaultProxy::SetFault(LinkFault aFault)
{
  mImpl->SetFault(aFault);
}

} // namespace bilberrytrail::standins
