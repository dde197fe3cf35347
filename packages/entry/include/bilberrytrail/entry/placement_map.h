#pragma once

#include <bilberrytrail/entry/placement.h>

#include <map>
#include <span>
#include <vector>

namespace bilberrytrail {

// A daemon that can be the home of groups.
struct PlacementCandidate
{
  DaemonId mDaemon;
  Endpoint mEndpoint;
  // Bandwidth of its VM's link in megabits per second; 0 when unknown.
  double mLinkMbps = 0;
};

// Assigns the backend servers of a site to groups and the groups to daemons as
// their homes. The assignment depends only on the sets of servers and daemons,
// so all daemons with the same lists compute the same one. Immutable.
class PlacementMap
{
public:
  // Approximate number of servers in a group: enough to even out the load of
  // the group, and few enough that deciding on them costs one daemon little
  // work.
  static constexpr std::size_t kGroupServers = 16;
  // Daemons whose link has less than this share of the widest link's bandwidth
  // are not used as homes, since a home answers many daemons.
  static constexpr double kMinLinkShare = 0.5;

  PlacementMap() = default;
  PlacementMap(std::span<const ServerRecord> aServers,
               std::span<const PlacementCandidate> aDaemons);

  // Returns all daemons, homes or not.
  [[nodiscard]] std::span<const PlacementCandidate> Daemons() const noexcept
  {
    return mDaemons;
  }
  // Returns up to aMost groups of a service, in the order in which a request
  // with this affinity tries them; none for a service without servers.
  [[nodiscard]] std::vector<PlacementGroup> GroupsFor(const ServiceId& aService,
                                                      std::uint64_t aAffinity,
                                                      std::size_t aMost) const;
  // Returns the homes of a group: the first home, and then those that replace
  // it, in order.
  [[nodiscard]] std::span<const PlacementCandidate> HomesOf(
    const PlacementGroup& aGroup) const;

  // Returns the groups whose first home is this daemon.
  [[nodiscard]] std::vector<PlacementGroup> GroupsOf(
    const DaemonId& aDaemon) const;

  // Returns the number of the group, among aCount groups, that a server belongs
  // to.
  [[nodiscard]] static std::uint32_t GroupOf(const ServerId& aServer,
                                             std::uint32_t aCount);

private:
  struct Group
  {
    std::size_t mServers = 0;
    std::vector<PlacementCandidate> mHomes;
  };

  void CountServers(std::span<const ServerRecord> aServers);
  void AssignHomes(std::span<const PlacementCandidate> aDaemons);

  std::map<ServiceId, std::vector<Group>> mServices;
  std::vector<PlacementCandidate> mDaemons;
};

} // namespace bilberrytrail
