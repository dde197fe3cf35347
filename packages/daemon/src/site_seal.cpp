#include "site_seal.h"

#include <bilberrytrail/base/log.h>

#include <chrono>

namespace bilberrytrail {

namespace {

// Receiver of messages to any daemon; no daemon has this id.
const DaemonId&
AnyDaemon()
{
  static const DaemonId kAny("*");
  return kAny;
}

template<class Unit>
std::int64_t
WallClock()
{
  return std::chrono::duration_cast<Unit>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

MessageLimits
MakeLimits(Duration aWindow)
{
  MessageLimits limits;
  limits.mWindowMillis = static_cast<std::int64_t>(ToMillis(aWindow));
  return limits;
}

} // namespace

SiteSeal::SiteSeal(const std::string& aSiteKey,
                   const DaemonId& aSelf,
                   Duration aWindow)
  : mSealer(aSiteKey,
            aSelf,
            static_cast<std::uint64_t>(WallClock<std::chrono::microseconds>()))
  , mOwn(aSiteKey, aSelf, MakeLimits(aWindow))
  , mAny(aSiteKey, AnyDaemon(), MakeLimits(aWindow))
{
}

std::string
SiteSeal::Seal(const DaemonId& aReceiver, std::string_view aBody)
{
  return mSealer.Seal(aReceiver, aBody, WallClock<std::chrono::milliseconds>());
}

std::string
SiteSeal::SealForAny(std::string_view aBody)
{
  return Seal(AnyDaemon(), aBody);
}

Result<PeerMessage>
SiteSeal::Open(std::string_view aWire)
{
  return OpenWith(mOwn, aWire);
}

Result<PeerMessage>
SiteSeal::OpenForAny(std::string_view aWire)
{
  return OpenWith(mAny, aWire);
}

Result<PeerMessage>
SiteSeal::OpenWith(MessageOpener& aOpener, std::string_view aWire)
{
  const std::lock_guard lock(mMutex);
  auto opened = aOpener.Open(aWire, WallClock<std::chrono::milliseconds>());
  if (!opened) {
    const MessageFault fault = opened.error();
    LogLine(fault == MessageFault::Replayed ? LogEvent::MessageReplayed
                                            : LogEvent::MessageBadMac,
            { { "fault", fault } });
    return Fail(ErrorCode::Unauthorized,
                "message refused: " + std::string(ToName(fault)));
  }
  return PeerMessage{ std::move(opened.value().mSender),
                      std::move(opened.value().mBody) };
}

} // namespace bilberrytrail
