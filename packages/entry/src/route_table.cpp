#include <bilberrytrail/entry/route_table.h>

#include <algorithm>
#include <cctype>

namespace bilberrytrail {

namespace {

// Number of hash buckets over which a split route divides requests.
constexpr std::uint64_t kShares = 1U << 20U;

std::string
HostOnly(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::ranges::transform(host, host.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return host;
}

} // namespace

RouteTable::RouteTable(const std::vector<Route>& aRoutes)
{
  for (const auto& it : aRoutes) {
    mByHost[HostOnly(it.mHost)].push_back(it);
  }
  for (auto& [host, routes] : mByHost) {
    std::ranges::stable_sort(
      routes, std::ranges::greater(), [](const Route& aRoute) {
        return aRoute.mPrefix.size();
      });
  }
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto routes = mByHost.find(HostOnly(aHost));
  if (routes == mByHost.end()) {
    return nullptr;
  }
  const auto path = aTarget.substr(0, aTarget.find('?'));
  const auto it =
    std::ranges::find_if(routes->second, [&](const Route& aRoute) {
      return path.starts_with(aRoute.mPrefix);
    });
  return it == routes->second.end() ? nullptr : &*it;
}

AccountKeys::AccountKeys(const std::vector<ClientAccount>& aAccounts)
  : mAccounts(aAccounts)
{
  for (std::size_t n = 0; n < mAccounts.size(); ++n) {
    for (const auto& key : mAccounts[n].mKeys) {
      mByKey.emplace(key, n);
    }
  }
}

const ClientAccount*
AccountKeys::Find(std::string_view aKey) const
{
  const auto it = mByKey.find(std::string(aKey));
  return it == mByKey.end() ? nullptr : &mAccounts[it->second];
}

const RouteTarget*
PickTarget(const Route& aRoute, std::uint64_t aHash) noexcept
{
  double total = 0;
  for (const auto& it : aRoute.mTargets) {
    total += std::max(it.mWeight, 0.0);
  }
  double point =
    static_cast<double>(aHash % kShares) / static_cast<double>(kShares) * total;
  for (const auto& it : aRoute.mTargets) {
    const double weight = std::max(it.mWeight, 0.0);
    if (weight > 0 && point < weight) {
      return &it;
    }
    point -= weight;
  }
  return nullptr;
}

} // namespace bilberrytrail
