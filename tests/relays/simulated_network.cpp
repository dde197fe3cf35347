#include "simulated_network.h"

#include "peer_call.h"

#include <algorithm>
#include <memory>
#include <optional>

namespace bilberrytrail::relays {

namespace {

constexpr Duration kLatency = 500us;
// Time until a VM whose process has stopped is known to refuse connections.
constexpr Duration kRefusalTime = 2ms;

// Work of a call and of each byte of its reply, as measured by tools/bench.
struct CallWork
{
  Duration mServe;
  double mBuildByteUs;
  double mSendByteUs;
  Duration mRead;
  double mReadByteUs;
};

constexpr CallWork kRpcWork{ 130us, 0.13, 0.002, 90us, 0.155 };
constexpr CallWork kPlainWork{ 120us, 0.04, 0.002, 120us, 0.05 };

const CallWork&
WorkOf(const std::string& aPath)
{
  return aPath == kRpcPath ? kRpcWork : kPlainWork;
}

Duration
Times(std::size_t aBytes, double aMicros)
{
  return Duration(
    static_cast<Duration::rep>(static_cast<double>(aBytes) * aMicros));
}

} // namespace

Result<std::string>
SimulatedNetwork::Serve(SimulatedPeer& aPeer,
                        const std::string& aPath,
                        const std::string& aBody)
{
  const auto& work = WorkOf(aPath);
  aPeer.mVm->Compute(work.mServe);
  const auto before = aPeer.mBuiltBytes();
  auto reply = aPeer.mServe(aPath, aBody);
  const auto bytes = reply ? reply.value().size() : 0;
  const auto built = aPath == kRpcPath ? bytes : aPeer.mBuiltBytes() - before;
  aPeer.mVm->Compute(Times(built, work.mBuildByteUs) +
                     Times(bytes, work.mSendByteUs));
  aPeer.mVm->Transfer(bytes);
  return reply;
}

void
SimulatedNetwork::Silence()
{
  for (auto& [ports, connections] : mConnections) {
    connections.Silence();
  }
}

Result<std::string>
SimulatedNetwork::Call(const Endpoint& aFrom,
                       const Endpoint& aTo,
                       const std::string& aPath,
                       const std::string& aBody,
                       const AnswerLimits& aLimits)
{
  struct Exchange
  {
    explicit Exchange(Loop& aLoop)
      : mDone(aLoop)
    {
    }
    Event mDone;
    std::optional<Result<std::string>> mReply;
  };
  const auto begin = MonotonicNow() + aLimits.mBegin;
  const auto end = MonotonicNow() + aLimits.mWhole;
  auto& caller = mPeers[aFrom.mPort];
  auto& called = mPeers[aTo.mPort];
  const auto fail = [&](ErrorCode aCode, const char* aReason) {
    mFailed.push_back({ aFrom, aTo, aPath, aReason });
    return Fail(aCode, aReason);
  };
  caller.mVm->Compute(WorkOf(aPath).mServe);
  if (called.mIsStopped) {
    (void)mLoop.Sleep(kRefusalTime);
    return fail(ErrorCode::Unavailable, "Connection refused");
  }
  auto& connections = mConnections[{ aFrom.mPort, aTo.mPort }];
  const auto connection = connections.Take();
  // As HttpClient::Call does.
  const auto timeOut = [&](const char* aReason) {
    (void)mLoop.Sleep(std::max(begin - MonotonicNow(), Duration(0)));
    connections.Forget();
    return fail(ErrorCode::Timeout, aReason);
  };
  if (connections.IsSilent(connection)) {
    return timeOut("silent");
  }
  ++mReceived[aTo.mPort];
  // The called daemon does its work whether the caller still waits or not.
  auto exchange = std::make_shared<Exchange>(mLoop);
  mLoop.Spawn([this, exchange, &called, aPath, aBody] {
    (void)mLoop.Sleep(kLatency);
    exchange->mReply = Serve(called, aPath, aBody);
    (void)mLoop.Sleep(kLatency);
    exchange->mDone.Notify();
  });
  const auto left = begin - MonotonicNow();
  if (left <= Duration(0) || !exchange->mDone.Wait(left)) {
    return timeOut("timeout");
  }
  if (connections.IsSilent(connection)) {
    return timeOut("silent");
  }
  connections.Keep(connection);
  auto& reply = *exchange->mReply;
  if (!reply) {
    mFailed.push_back({ aFrom, aTo, aPath, reply.error().mMessage });
    return std::move(reply).error();
  }
  const auto& work = WorkOf(aPath);
  caller.mVm->Transfer(reply.value().size());
  caller.mVm->Compute(work.mRead +
                      Times(reply.value().size(), work.mReadByteUs));
  if (MonotonicNow() > end) {
    return fail(ErrorCode::Timeout, "response is not complete in time");
  }
  return std::move(reply);
}

} // namespace bilberrytrail::relays
