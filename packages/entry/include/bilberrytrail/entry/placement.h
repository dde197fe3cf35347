#pragma once

#include <bilberrytrail/entry/server_pool.h>

#include <optional>
#include <string>

namespace bilberrytrail {

// A group of a service's backend servers on which one daemon, the group's
// home, places work. Daemons agree on groups and homes without talking.
struct PlacementGroup
{
  ServiceId mService;
  // Number of the group, of mCount.
  std::uint32_t mNumber = 0;
  std::uint32_t mCount = 1;

  auto operator<=>(const PlacementGroup&) const = default;
};

// A question for a server of a group.
struct PlacementRequest
{
  PlacementGroup mGroup;
  ServerQuery mQuery;
  // Identifies the grant among those of the asking process.
  std::uint64_t mTicket = 0;
  // Time that the caller still waits.
  Duration mTimeLeft{};
  // The request is placed however late it would be answered.
  bool mMustPlace = false;
};

// What a home says to a question.
enum class PlacementOutcome : unsigned char
{
  Granted,
  // All servers of the group are behind; mTime is the least estimate.
  Busy,
  // The home knows no server that could be used.
  NoServer
};

template<>
struct EnumNames<PlacementOutcome>
{
  static constexpr std::array<std::string_view, 3> kNames{ "granted",
                                                           "busy",
                                                           "no_server" };
};

struct PlacementReply
{
  std::uint64_t mTicket = 0;
  PlacementOutcome mOutcome = PlacementOutcome::NoServer;
  ServerId mServer;
  // Weights that the server is believed to have.
  std::uint64_t mWeightVersion = 0;
  ChoiceReason mReason = ChoiceReason::Soonest;
  Duration mTime{};
  std::size_t mCandidates = 0;
};

// What became of a grant.
struct PlacementReport
{
  std::uint64_t mTicket = 0;
  // Nothing while the answer has only begun.
  std::optional<SendOutcome> mEnd;
};

// A process of a daemon; one that starts again is another.
struct PlacementClientId
{
  DaemonId mDaemon;
  std::uint64_t mIncarnation = 0;
};

// Finds a server for a request by whoever knows the servers' work.
class Placer
{
public:
  virtual ~Placer() = default;

  // Asks the homes of the groups that fit the request; nothing when none
  // answers in time. Waits on the calling fiber. aSpread chooses the group of
  // a request without affinity.
  [[nodiscard]] virtual std::optional<PlacementReply> Place(
    const ServerQuery& aQuery,
    std::uint64_t aSpread,
    Duration aTimeLeft,
    bool aMustPlace) = 0;
  // Notes that the answer of a granted request has begun.
  virtual void OnBegun(std::uint64_t aTicket) = 0;
  // Notes how a granted request ended.
  virtual void OnEnd(std::uint64_t aTicket, SendOutcome aEnd) = 0;
};

} // namespace bilberrytrail
