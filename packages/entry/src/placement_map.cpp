#include <bilberrytrail/entry/placement_map.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace bilberrytrail {

namespace {

// Homes assigned to each group, tried in order.
constexpr std::size_t kMaxHomes = 3;

// Weighted rendezvous hashing: groups are tried by descending score.
double
ScoreOf(std::uint64_t aAffinity, std::uint32_t aNumber, std::size_t aWeight)
{
  const auto hash = Random(aNumber + 1).Next();
  // Never 0, so that the logarithm is finite.
  const double unit = 1.0 - Random(aAffinity ^ hash).Unit();
  return -static_cast<double>(aWeight) / std::min(std::log(unit), -1e-18);
}

std::vector<PlacementCandidate>
WithWideLinks(std::span<const PlacementCandidate> aDaemons)
{
  double widest = 0;
  for (const auto& it : aDaemons) {
    widest = std::max(widest, it.mLinkMbps);
  }
  std::vector<PlacementCandidate> daemons;
  for (const auto& it : aDaemons) {
    if (it.mLinkMbps >= PlacementMap::kMinLinkShare * widest) {
      daemons.push_back(it);
    }
  }
  return daemons;
}

} // namespace

std::uint32_t
PlacementMap::GroupOf(const ServerId& aServer, std::uint32_t aCount)
{
  const auto hash = StableHash64(aServer.Text());
  std::uint32_t best = 0;
  std::uint64_t most = 0;
  for (std::uint32_t n = 0; n < aCount; ++n) {
    const auto score = Random(hash ^ Random(n + 1).Next()).Next();
    if (score >= most) {
      most = score;
      best = n;
    }
  }
  return best;
}

PlacementMap::PlacementMap(std::span<const ServerRecord> aServers,
                           std::span<const PlacementCandidate> aDaemons)
  : mDaemons(aDaemons.begin(), aDaemons.end())
{
  CountServers(aServers);
  AssignHomes(aDaemons);
}

void
PlacementMap::CountServers(std::span<const ServerRecord> aServers)
{
  std::map<ServiceId, std::size_t> totals;
  for (const auto& it : aServers) {
    ++totals[it.mService];
  }
  for (const auto& [service, servers] : totals) {
    const auto groups = (servers + kGroupServers / 2) / kGroupServers;
    mServices[service].resize(std::max<std::size_t>(groups, 1));
  }
  for (const auto& it : aServers) {
    auto& groups = mServices[it.mService];
    ++groups[GroupOf(it.mId, static_cast<std::uint32_t>(groups.size()))]
        .mServers;
  }
}

// Balances the groups over the daemons: each daemon is the first home of at
// most ceil(groups / daemons) groups.
void
PlacementMap::AssignHomes(std::span<const PlacementCandidate> aDaemons)
{
  const auto daemons = WithWideLinks(aDaemons);
  std::map<DaemonId, const PlacementCandidate*> known;
  std::vector<HomeCandidate> candidates;
  for (const auto& it : daemons) {
    known.emplace(it.mDaemon, &it);
    candidates.push_back({ it.mDaemon, ZoneId(), 1.0 });
  }
  std::size_t total = 0;
  for (const auto& [service, groups] : mServices) {
    total += groups.size();
  }
  if (candidates.empty()) {
    return;
  }
  const auto most = (total + candidates.size() - 1) / candidates.size();
  std::map<DaemonId, std::size_t> taken;
  for (auto& [service, groups] : mServices) {
    for (std::size_t n = 0; n < groups.size(); ++n) {
      auto order =
        bilberrytrail::HomesOf(service.Text() + "/" + std::to_string(n),
                               candidates,
                               candidates.size());
      const auto first = std::ranges::find_if(
        order, [&](const DaemonId& aDaemon) { return taken[aDaemon] < most; });
      std::rotate(order.begin(), first, std::next(first));
      ++taken[order.front()];
      order.resize(std::min(order.size(), kMaxHomes));
      for (const auto& it : order) {
        groups[n].mHomes.push_back(*known.at(it));
      }
    }
  }
}

std::vector<PlacementGroup>
PlacementMap::GroupsFor(const ServiceId& aService,
                        std::uint64_t aAffinity,
                        std::size_t aMost) const
{
  const auto it = mServices.find(aService);
  if (it == mServices.end()) {
    return {};
  }
  const auto count = static_cast<std::uint32_t>(it->second.size());
  std::vector<std::pair<double, std::uint32_t>> order;
  for (std::uint32_t n = 0; n < count; ++n) {
    if (it->second[n].mServers > 0) {
      order.emplace_back(ScoreOf(aAffinity, n, it->second[n].mServers), n);
    }
  }
  const auto most = std::min(aMost, order.size());
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(most),
                            std::ranges::greater());
  std::vector<PlacementGroup> groups;
  for (std::size_t n = 0; n < most; ++n) {
    groups.push_back({ aService, order[n].second, count });
  }
  return groups;
}

std::span<const PlacementCandidate>
PlacementMap::HomesOf(const PlacementGroup& aGroup) const
{
  const auto it = mServices.find(aGroup.mService);
  if (it == mServices.end() || aGroup.mNumber >= it->second.size()) {
    return {};
  }
  return it->second[aGroup.mNumber].mHomes;
}

std::vector<PlacementGroup>
PlacementMap::GroupsOf(const DaemonId& aDaemon) const
{
  std::vector<PlacementGroup> own;
  for (const auto& [service, groups] : mServices) {
    const auto count = static_cast<std::uint32_t>(groups.size());
    for (std::uint32_t n = 0; n < count; ++n) {
      const auto& homes = groups[n].mHomes;
      if (!homes.empty() && homes.front().mDaemon == aDaemon) {
        own.push_back({ service, n, count });
      }
    }
  }
  return own;
}

} // namespace bilberrytrail
