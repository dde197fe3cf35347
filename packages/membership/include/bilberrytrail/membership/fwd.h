#pragma once

namespace bilberrytrail {

struct HomeCandidate;
enum class MemberStatus : unsigned char;
enum class GossipKind : unsigned char;
struct MemberRecord;
struct SharedNumber;
struct GossipMessage;
struct GossipSettings;
class Gossip;

} // namespace bilberrytrail
