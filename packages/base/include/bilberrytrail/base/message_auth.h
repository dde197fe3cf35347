#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Why a message between daemons was rejected.
enum class MessageFault : unsigned char
{
  // Not in the form that Seal writes.
  Malformed,
  // Meant for another daemon.
  WrongReceiver,
  // Not made with the site key, or changed since.
  BadMac,
  // Its time differs from the receiver's clock by more than the window.
  Old,
  // Seen before, or too far behind the newest of its sender to tell.
  Replayed,
  // No room to remember one more sender.
  TooManySenders
};

template<>
struct EnumNames<MessageFault>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "malformed", "wrong_receiver", "bad_mac",
    "old",       "replayed",       "too_many_senders"
  };
};

// An authentic message.
struct OpenedMessage
{
  DaemonId mSender;
  std::uint64_t mSequence = 0;
  std::string mBody;
};

// Makes messages that only daemons with the site key can make: an
// HMAC-SHA-256 covers sender, receiver, sequence, time and body. The body is
// not encrypted. Thread-safe.
//
//   MessageSealer sealer(siteKey, self, wallClockMicros);
//   auto wire = sealer.Seal(peer, body, wallClockMillis);
class MessageSealer
{
public:
  // The sequence of each receiver begins at the given number, which must be
  // above all that an earlier process of the same name used: the wall clock
  // in microseconds at the start.
  MessageSealer(std::string aSiteKey,
                DaemonId aSelf,
                std::uint64_t aFirstSequence);
  ~MessageSealer();
  MessageSealer(const MessageSealer&) = delete;
  MessageSealer& operator=(const MessageSealer&) = delete;

  // Returns the bytes to send. The time is the wall clock in milliseconds
  // since 1970. Names of daemons have at most 255 bytes.
  [[nodiscard]] std::string Seal(const DaemonId& aReceiver,
                                 std::string_view aBody,
                                 std::int64_t aNowMillis);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

// Bounds of a MessageOpener.
struct MessageLimits
{
  // Largest difference between a message's time and the receiver's clock.
  std::int64_t mWindowMillis = 30'000;
  // Messages of an earlier time are rejected as old. Set it to the start of
  // the process, which does not know what an earlier one received.
  std::int64_t mNotBeforeMillis = 0;
  // Senders that are remembered at once; each takes about 1 KiB.
  std::size_t mMaxSenders = 1024;
};

// Checks messages and gives out each authentic one once. A sender is forgotten
// when everything it sent is too old to be accepted again, so memory is
// bounded and nothing can be replayed. Not thread-safe.
class MessageOpener
{
public:
  MessageOpener(std::string aSiteKey,
                DaemonId aSelf,
                const MessageLimits& aLimits);
  ~MessageOpener();
  MessageOpener(const MessageOpener&) = delete;
  MessageOpener& operator=(const MessageOpener&) = delete;

  // Returns the number of senders that are remembered.
  [[nodiscard]] std::size_t SenderCount() const noexcept;

  // Checks the received bytes against the wall clock in milliseconds.
  [[nodiscard]] Result<OpenedMessage, MessageFault> Open(
    std::string_view aWire,
    std::int64_t aNowMillis);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

// Bytes that Seal adds to a body, without the two names.
inline constexpr std::size_t kSealBytes = 3 + 1 + 1 + 8 + 8 + 32;

} // namespace bilberrytrail
