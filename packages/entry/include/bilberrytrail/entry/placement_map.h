#pragma once

#include <bilberrytrail/entry/placement.h>

#include <map>
#include <span>
#include <vector>

namespace bilberrytrail {

// A daemon that could be home to groups.
struct PlacementCandidate
{
  DaemonId mDaemon;
  Endpoint mEndpoint;
  // Megabits per second of its VM's link; 0 when it is not known.
  double mLinkMbps = 0;
};

// How a site's backend servers are grouped, and which daemons are the groups'
// homes. All daemons that know the same servers and daemons get the same
// answer. Immutable.
class PlacementMap
{
public:
  // Servers of a group, about: enough of them to even out a group's load, and
  // few enough that one daemon decides on them with little work.
  static constexpr std::size_t kGroupServers = 16;
  // Daemons with less than this share of the widest link are no homes while
  // there are others: a home answers many daemons.
  static constexpr double kLinkShare = 0.5;

  PlacementMap() = default;
  PlacementMap(std::span<const ServerRecord> aServers,
               std::span<const PlacementCandidate> aDaemons);

  // Returns up to aMost groups of a service, in the order in which a request
  // with the affinity asks them; none for a service without servers.
  [[nodiscard]] std::vector<PlacementGroup> GroupsFor(const ServiceId& aService,
                                                      std::uint64_t aAffinity,
                                                      std::size_t aMost) const;
  // Returns the daemons that are home to a group, the first one and those that
  // take its place in order.
  [[nodiscard]] std::span<const PlacementCandidate> HomesOf(
    const PlacementGroup& aGroup) const;

  // Returns the number of a server's group among aCount.
  [[nodiscard]] static std::uint32_t GroupOf(const ServerId& aServer,
                                             std::uint32_t aCount);

private:
  struct Group
  {
    std::size_t mServers = 0;
    std::vector<PlacementCandidate> mHomes;
  };

  void Count(std::span<const ServerRecord> aServers);
  void AssignHomes(std::span<const PlacementCandidate> aDaemons);

  std::map<ServiceId, std::vector<Group>> mServices;
};

} // namespace bilberrytrail
