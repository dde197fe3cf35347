#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Fields of a message between daemons. Wire format: "BT1"; sender and receiver,
// each as one byte of length and the text; sequence and time, each as 8 bytes
// in big-endian order; the body; 32 bytes of HMAC-SHA-256 over all of that.
struct MessageParts
{
  DaemonId mSender;
  DaemonId mReceiver;
  std::uint64_t mSequence = 0;
  std::int64_t mTimeMillis = 0;
  std::string_view mBody;
  // The bytes that the MAC covers, and the MAC.
  std::string_view mCovered;
  std::string_view mMac;
};

// Parses received bytes; returns nothing when they are too short or do not
// begin with "BT1". The views in the result refer to aWire.
[[nodiscard]] std::optional<MessageParts>
SplitMessage(std::string_view aWire);

// Returns the bytes that the MAC covers.
[[nodiscard]] std::string
JoinMessage(const MessageParts& aParts);

// Returns the MAC of the covered bytes as 32 bytes.
[[nodiscard]] std::string
MessageMac(std::string_view aSiteKey, std::string_view aCovered);

} // namespace bilberrytrail
