#pragma once

#include "standin.h"

#include <cerrno>
#include <deque>

namespace review {

// The links of one machine to the others, which are cut together.
class Uplink
{
public:
  [[nodiscard]] bool IsCut() const { return mIsCut; }
  void Cut(double aTime)
  {
    if (!mIsCut.exchange(true)) {
      mHealsAt = Seconds() + aTime;
      std::thread([this, aTime] {
        Sleep(aTime);
        mIsCut = false;
        Note("the links of " + mName + " have healed");
      }).detach();
      Note("the links of " + mName + " are cut for " + std::to_string(aTime) +
           " s");
    }
  }
  [[nodiscard]] double HealsAt() const { return mHealsAt; }

  std::string mName;

private:
  std::atomic<bool> mIsCut = false;
  std::atomic<double> mHealsAt = 0;
};

// A TCP proxy that stands in for the link between two machines. While the link
// is cut, nothing passes. Bytes of open connections stay under way, as in the
// send queue of the sender's kernel: they pass at the first retransmission
// after the cut, unless the sender has reset the connection. Connections that
// are opened during a cut never pass anything.
class Link
{
public:
  // Called with the bytes that a client sends, before they pass.
  using Watch = std::function<void(const std::string& aBytes)>;

  Link(std::string aTarget, std::vector<Uplink*> aUplinks, Watch aWatch = {})
    : mTarget(std::move(aTarget))
    , mUplinks(std::move(aUplinks))
    , mWatch(std::move(aWatch))
  {
    mListener = Listen(OwnHost(), 0, mPort);
    std::thread([this] { Accept(); }).detach();
  }
  [[nodiscard]] std::string Address() const
  {
    return OwnHost() + ":" + std::to_string(mPort);
  }
  // Lets all connections that are open now go silent for good, without a
  // reset. New ones work.
  void SilenceOpenConnections() { ++mGeneration; }

private:
  // First time-out of a retransmission on a local network; it doubles.
  static constexpr double kFirstRetransmission = 0.2;

  struct Pair
  {
    Stream mClient;
    Stream mServer;
    int mGeneration = 0;
    std::atomic<bool> mHasEnded = false;
  };

  [[nodiscard]] bool IsCut() const
  {
    return std::ranges::any_of(mUplinks,
                               [](const Uplink* it) { return it->IsCut(); });
  }
  void Accept()
  {
    while (true) {
      const int fd = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        std::thread([this, fd] { Open(fd); }).detach();
      }
    }
  }
  void Open(int aHandle)
  {
    if (IsCut()) {
      // The connection stays open and passes nothing.
      Stream stream(aHandle);
      while (stream.Fill(Clock::now() + 600s)) {
      }
      return;
    }
    const auto colon = mTarget.find(':');
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = ToAddress(mTarget.substr(0, colon),
                                   std::atoi(mTarget.c_str() + colon + 1));
    if (::connect(fd,
                  reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address)) != 0) {
      ::close(fd);
      ::close(aHandle);
      return;
    }
    const std::shared_ptr<Pair> pair(
      new Pair{ Stream(aHandle), Stream(fd), mGeneration });
    std::thread([this, pair] {
      Pump(*pair, pair->mClient, pair->mServer, true);
    }).detach();
    Pump(*pair, pair->mServer, pair->mClient, false);
  }
  // Waits until bytes that were sent first at a time pass.
  void AwaitPassage(double aSentAt) const
  {
    double pause = kFirstRetransmission;
    for (double at = aSentAt; IsCut(); pause *= 2) {
      at += pause;
      Sleep(std::max(at - Seconds(), 0.0));
    }
  }
  void Pump(Pair& aPair, Stream& aFrom, Stream& aTo, bool aIsClient)
  {
    std::array<char, 65536> buf{};
    while (true) {
      const auto n = ::recv(aFrom.Handle(), buf.data(), buf.size(), 0);
      const bool isReset = n < 0;
      const auto sentAt = Seconds();
      if (n > 0 && aIsClient && mWatch) {
        mWatch(std::string(buf.data(), static_cast<std::size_t>(n)));
      }
      if (aPair.mGeneration != mGeneration) {
        // Silent for good: the end of the connection does not pass either.
        Sleep(600);
      }
      if (!isReset) {
        AwaitPassage(sentAt);
      }
      if (isReset) {
        aTo.ResetOnClose();
        aPair.mHasEnded = true;
      }
      if (n <= 0 || aPair.mHasEnded) {
        ::shutdown(aTo.Handle(), SHUT_WR);
        return;
      }
      // A reset of the connection meanwhile drops what is under way.
      if (aIsClient && HasReset(aFrom)) {
        Note("link: the sender has reset the connection");
        return;
      }
      aTo.Write({ buf.data(), static_cast<std::size_t>(n) });
    }
  }
  static bool HasReset(const Stream& aStream)
  {
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(aStream.Handle(), SOL_SOCKET, SO_ERROR, &error, &size);
    return error == ECONNRESET;
  }

  const std::string mTarget;
  const std::vector<Uplink*> mUplinks;
  const Watch mWatch;
  int mListener = -1;
  int mPort = 0;
  std::atomic<int> mGeneration = 0;
};

} // namespace review
