#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Limits on messages from a peer.
inline constexpr std::size_t kMaxGossipBytes = 256 * 1024;
inline constexpr std::size_t kMaxGossipMembers = 2048;
inline constexpr std::size_t kMaxGossipNumbers = 256;
inline constexpr std::size_t kMaxGossipTextBytes = 128;

// Status of a daemon as known to a member. Dead can be refuted with a higher
// incarnation; Left is final.
enum class MemberStatus : unsigned char
{
  Alive,
  Suspect,
  Dead,
  Left
};

template<>
struct EnumNames<MemberStatus>
{
  static constexpr std::array<std::string_view, 4> kNames{ "alive",
                                                           "suspect",
                                                           "dead",
                                                           "left" };
};

// One daemon process. Each start has a new id, so that a daemon restarted at
// the same address is a different member.
struct MemberRecord
{
  DaemonId mId;
  Incarnation mIncarnation;
  MemberStatus mStatus = MemberStatus::Alive;
  ZoneId mZone;
  Endpoint mEndpoint;

  auto operator<=>(const MemberRecord&) const = default;
};

// A named number that only increases, such as the newest release of a product.
struct SharedNumber
{
  std::string mName;
  std::uint64_t mValue = 0;

  auto operator<=>(const SharedNumber&) const = default;
};

// Returns the name under which a product's newest release number is shared.
[[nodiscard]] std::string
ReleaseNumberName(const ProductId& aProduct);

// Kinds of messages between daemons.
enum class GossipKind : unsigned char
{
  Ping,
  Ack,
  // Asks the receiver to ping the target and forward its answer.
  PingRequest,
  // Asks for all members and numbers.
  SyncRequest,
  SyncReply,
  // Carries only changes; not answered.
  Notice
};

template<>
struct EnumNames<GossipKind>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "ping", "ack", "ping_request", "sync_request", "sync_reply", "notice"
  };
};

// One message. It always contains the sender's own record.
struct GossipMessage
{
  GossipKind mKind = GossipKind::Ping;
  std::uint64_t mSequence = 0;
  MemberRecord mSender;
  // Ping and PingRequest: the member to ping; empty for any process at the
  // address. Ack: the member that answered.
  DaemonId mTarget;
  // PingRequest: the address of the target.
  Endpoint mTargetEndpoint;
  std::vector<MemberRecord> mMembers;
  std::vector<SharedNumber> mNumbers;

  auto operator<=>(const GossipMessage&) const = default;
};

// Encodes a message as CBOR.
[[nodiscard]] std::string
ToBytes(const GossipMessage& aMessage);

// Decodes a message. Fails with TooLarge above kMaxGossipBytes, and with
// InvalidInput when it is malformed or exceeds another limit above; never
// throws.
[[nodiscard]] Result<GossipMessage>
GossipMessageFromBytes(std::string_view aBytes);

} // namespace bilberrytrail
