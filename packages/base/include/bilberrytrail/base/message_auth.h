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
  // Not in the format that Seal writes.
  Malformed,
  // Addressed to another daemon.
  WrongReceiver,
  // Not authenticated with the site key, or modified on the way.
  BadMac,
  // Its time differs from the receiver's clock by more than the window.
  Old,
  // Seen before, or too old for its sender's replay window to tell.
  Replayed,
  // The table of tracked senders is full.
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

// Authenticates messages between daemons with the site key: an HMAC-SHA-256
// covers sender, receiver, sequence number, time and body. The body is
// not encrypted. Thread-safe.
//
//   MessageSealer sealer(siteKey, self, wallClockMicros);
//   auto wire = sealer.Seal(peer, body, wallClockMillis);
class MessageSealer
{
public:
  // Sequence numbers of each receiver begin at aFirstSequence, which must be
  // higher than any that an earlier process of the same name used; pass the
  // wall clock in microseconds at process start.
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

// Limits of a MessageOpener.
struct MessageLimits
{
  // Largest difference between a message's time and the receiver's clock.
  std::int64_t mWindowMillis = 30'000;
  // Messages with an earlier time are rejected as old. Set it to the start of
  // the process, which does not know what an earlier process received.
  std::int64_t mNotBeforeMillis = 0;
  // Maximum number of senders tracked at a time; each takes about 1 KiB.
  std::size_t mMaxSenders = 1024;
};

// Verifies messages and accepts each authentic one only once. A sender is no
// longer tracked when everything it sent is too old to be accepted again, so
// memory is bounded and nothing can be replayed. Not thread-safe.
class MessageOpener
{
public:
  MessageOpener(std::string aSiteKey,
                DaemonId aSelf,
                const MessageLimits& aLimits);
  ~MessageOpener();
  MessageOpener(const MessageOpener&) = delete;
  MessageOpener& operator=(const MessageOpener&) = delete;

  // Returns the number of tracked senders.
  [[nodiscard]] std::size_t SenderCount() const noexcept;

  // Verifies the received bytes. aNowMillis is the wall clock in milliseconds
  // since 1970.
  [[nodiscard]] Result<OpenedMessage, MessageFault> Open(
    std::string_view aWire,
    std::int64_t aNowMillis);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

// Bytes that Seal adds to a body, not counting the two names.
inline constexpr std::size_t kSealBytes = 3 + 1 + 1 + 8 + 8 + 32;

} // namespace bilberrytrail
