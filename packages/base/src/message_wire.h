#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytrail {

// A message between daemons in its parts. Form: "BT1", length and text of
// sender and receiver, sequence and time as 8 bytes, the most significant
// first, the body, and 32 bytes of HMAC-SHA-256 over all before it.
struct MessageParts
{
  DaemonId mSender;
  DaemonId mReceiver;
  std::uint64_t mSequence = 0;
  std::int64_t mTimeMillis = 0;
  std::string_view mBody;
  // What the MAC covers, and the MAC.
  std::string_view mCovered;
  std::string_view mMac;
};

// Splits received bytes; nothing when they are too short. The parts refer to
// the bytes.
[[nodiscard]] std::optional<MessageParts>
SplitMessage(std::string_view aWire);

// Returns the bytes that the MAC covers.
[[nodiscard]] std::string
JoinMessage(const MessageParts& aParts);

// Returns the MAC of the covered bytes as 32 bytes.
[[nodiscard]] std::string
MessageMac(std::string_view aSiteKey, std::string_view aCovered);

} // namespace bilberrytrail
