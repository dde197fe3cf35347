#include "message_wire.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

namespace {

constexpr std::string_view kMagic = "BT1";
constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kMaxNameBytes = 255;

// Removes the first aBytes from aInput and returns them; nothing when aInput is
// shorter.
std::optional<std::string_view>
ConsumeBytes(std::string_view& aInput, std::size_t aBytes)
{
  if (aInput.size() < aBytes) {
    return std::nullopt;
  }
  const auto taken = aInput.substr(0, aBytes);
  aInput.remove_prefix(aBytes);
  return taken;
}

std::optional<DaemonId>
ConsumeName(std::string_view& aInput)
{
  const auto length = ConsumeBytes(aInput, 1);
  if (!length) {
    return std::nullopt;
  }
  const auto text =
    ConsumeBytes(aInput, static_cast<unsigned char>(length->front()));
  if (!text) {
    return std::nullopt;
  }
  return DaemonId(std::string(*text));
}

std::optional<std::uint64_t>
ConsumeNumber(std::string_view& aInput)
{
  const auto bytes = ConsumeBytes(aInput, kNumberBytes);
  if (!bytes) {
    return std::nullopt;
  }
  std::uint64_t value = 0;
  for (const char c : *bytes) {
    value = (value << 8U) | static_cast<unsigned char>(c);
  }
  return value;
}

void
AppendName(std::string& aOut, const DaemonId& aName)
{
  const auto text = std::string_view(aName.Text()).substr(0, kMaxNameBytes);
  aOut += static_cast<char>(static_cast<unsigned char>(text.size()));
  aOut += text;
}

void
AppendNumber(std::string& aOut, std::uint64_t aValue)
{
  for (std::size_t n = kNumberBytes; n-- > 0;) {
    aOut += static_cast<char>(static_cast<unsigned char>(aValue >> (n * 8)));
  }
}

unsigned
HexValue(char aDigit)
{
  return static_cast<unsigned>(aDigit <= '9' ? aDigit - '0'
                                             : aDigit - 'a' + 10);
}

} // namespace

std::optional<MessageParts>
SplitMessage(std::string_view aWire)
{
  if (aWire.size() < kMacBytes || !aWire.starts_with(kMagic)) {
    return std::nullopt;
  }
  MessageParts parts;
  parts.mCovered = aWire.substr(0, aWire.size() - kMacBytes);
  parts.mMac = aWire.substr(parts.mCovered.size());
  auto rest = parts.mCovered;
  if (!ConsumeBytes(rest, kMagic.size())) {
    return std::nullopt;
  }
  auto sender = ConsumeName(rest);
  auto receiver = ConsumeName(rest);
  const auto sequence = ConsumeNumber(rest);
  const auto time = ConsumeNumber(rest);
  if (!sender || !receiver || !sequence || !time) {
    return std::nullopt;
  }
  parts.mSender = std::move(*sender);
  parts.mReceiver = std::move(*receiver);
  parts.mSequence = *sequence;
  parts.mTimeMillis = static_cast<std::int64_t>(*time);
  parts.mBody = rest;
  return parts;
}

std::string
JoinMessage(const MessageParts& aParts)
{
  std::string out(kMagic);
  AppendName(out, aParts.mSender);
  AppendName(out, aParts.mReceiver);
  AppendNumber(out, aParts.mSequence);
  AppendNumber(out, static_cast<std::uint64_t>(aParts.mTimeMillis));
  out += aParts.mBody;
  return out;
}

std::string
MessageMac(std::string_view aSiteKey, std::string_view aCovered)
{
  const auto hex = HmacSha256Hex(aSiteKey, aCovered);
  std::string mac;
  mac.reserve(kMacBytes);
  for (std::size_t n = 0; n + 1 < hex.size(); n += 2) {
    mac += static_cast<char>(static_cast<unsigned char>(
      (HexValue(hex[n]) << 4U) | HexValue(hex[n + 1])));
  }
  return mac;
}

} // namespace bilberrytrail
