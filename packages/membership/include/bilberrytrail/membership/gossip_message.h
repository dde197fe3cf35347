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

// Bounds on what is read from a peer.
inline constexpr std::size_t kMaxGossipBytes = 256 * 1024;
inline constexpr std::size_t kMaxGossipMembers = 2048;
inline constexpr std::size_t kMaxGossipNumbers = 256;
inline constexpr std::size_t kMaxGossipTextBytes = 128;

// What is believed of a daemon. Dead may be refuted with a higher
// incarnation, Left is final.
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

// One daemon. The id is new at each start of a process, so that a daemon
// restarted at the same address is another member.
struct MemberRecord
{
  DaemonId mId;
  Incarnation mIncarnation;
  MemberStatus mStatus = MemberStatus::Alive;
  ZoneId mZone;
  Endpoint mEndpoint;

  auto operator<=>(const MemberRecord&) const = default;
};

// A named number that only grows, such as the newest release of a product.
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
  // Asks the receiver to ping the target and pass its answer back.
  PingRequest,
  // Asks for all members and numbers.
  SyncRequest,
  SyncReply,
  // Carries changes only; not answered.
  Notice
};

template<>
struct EnumNames<GossipKind>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "ping", "ack", "ping_request", "sync_request", "sync_reply", "notice"
  };
};

// One message. The sender's own record always comes along.
struct GossipMessage
{
  GossipKind mKind = GossipKind::Ping;
  std::uint64_t mSequence = 0;
  MemberRecord mSender;
  // Ping: who is meant, or empty for whoever listens there.
  DaemonId mTarget;
  // PingRequest: where the target listens.
  Endpoint mTargetEndpoint;
  std::vector<MemberRecord> mMembers;
  std::vector<SharedNumber> mNumbers;

  auto operator<=>(const GossipMessage&) const = default;
};

// Encodes a message as CBOR.
[[nodiscard]] std::string
ToBytes(const GossipMessage& aMessage);

// Decodes a message. Fails with InvalidInput on anything malformed or beyond
// the bounds above; never throws.
[[nodiscard]] Result<GossipMessage>
GossipMessageFromBytes(std::string_view aBytes);

} // namespace bilberrytrail
