#pragma once

#include <bilberrytrail/entry/server_pool.h>

#include <optional>
#include <string>

namespace bilberrytrail {

// A group of a service's backend servers. One daemon, the home of the group,
// places requests on them. All daemons derive groups and homes from the lists
// that they have, without exchanging messages.
struct PlacementGroup
{
  ServiceId mService;
  // Number of the group, less than mCount.
  std::uint32_t mNumber = 0;
  std::uint32_t mCount = 1;

  auto operator<=>(const PlacementGroup&) const = default;
};

// Asks the home of a group which server should run a request.
struct PlacementRequest
{
  PlacementGroup mGroup;
  ServerQuery mQuery;
  // Identifies the grant among those of the requesting process.
  std::uint64_t mTicket = 0;
  // Time until the caller's deadline.
  Duration mTimeLeft{};
  // The home grants a server even if the estimated time exceeds its admission
  // bound.
  bool mMustPlace = false;
};

// How a home answered a placement request.
enum class PlacementOutcome : unsigned char
{
  Granted,
  // The estimate of every server of the group exceeds the admission bound;
  // mTime is the lowest estimate.
  Busy,
  // The home knows no usable server.
  NoServer,
  // The servers of the group have reached the rate limits that they name; mTime
  // is the time after which the caller may retry.
  Limited
};

template<>
struct EnumNames<PlacementOutcome>
{
  static constexpr std::array<std::string_view, 4> kNames{ "granted",
                                                           "busy",
                                                           "no_server",
                                                           "limited" };
};

struct PlacementReply
{
  std::uint64_t mTicket = 0;
  PlacementOutcome mOutcome = PlacementOutcome::NoServer;
  ServerId mServer;
  // Version of the weights that the server probably has loaded.
  std::uint64_t mWeightVersion = 0;
  ChoiceReason mReason = ChoiceReason::Soonest;
  Duration mTime{};
  std::size_t mCandidates = 0;
};

// Reports the progress of a grant to its home.
struct PlacementReport
{
  std::uint64_t mTicket = 0;
  // Empty when the answer has begun but not ended.
  std::optional<SendOutcome> mSendOutcome;
};

// A process of a daemon. A restarted daemon has another incarnation.
struct PlacementClientId
{
  DaemonId mDaemon;
  std::uint64_t mIncarnation = 0;
};

// Finds a server for a request with the help of the daemons that know the load
// of the servers.
class Placer
{
public:
  virtual ~Placer() = default;

  // Sends placement requests to the homes of the groups that fit the request,
  // and waits for them on the calling fiber. Returns nothing when none of them
  // answers in time. aSpread chooses the group of a request without affinity.
  // With aMustPlace the homes skip admission.
  [[nodiscard]] virtual std::optional<PlacementReply> Place(
    const ServerQuery& aQuery,
    std::uint64_t aSpread,
    Duration aTimeLeft,
    bool aMustPlace) = 0;
  // Reports that the answer to a granted request has begun.
  virtual void OnBegun(std::uint64_t aTicket) = 0;
  // Reports how a granted request ended.
  virtual void OnEnd(std::uint64_t aTicket, SendOutcome aOutcome) = 0;
};

} // namespace bilberrytrail
