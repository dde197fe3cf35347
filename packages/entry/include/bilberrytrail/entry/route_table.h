#pragma once

#include <bilberrytrail/entry/site_config.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace bilberrytrail {

// Finds the route of a request: among the routes of its host, the one with the
// longest prefix that begins its path.
//
//   RouteTable table(config.mRoutes);
//   const Route* route = table.Find("guide.example", "/fold/7?page=2");
class RouteTable
{
public:
  explicit RouteTable(const std::vector<Route>& aRoutes);

  // Returns null when no route matches. The port of the host and the query of
  // the target do not count.
  [[nodiscard]] const Route* Find(std::string_view aHost,
                                  std::string_view aTarget) const;

private:
  // Routes by host, longest prefix first.
  std::map<std::string, std::vector<Route>, std::less<>> mByHost;
};

// Finds the client account that holds a key.
class AccountKeys
{
public:
  explicit AccountKeys(const std::vector<ClientAccount>& aAccounts);

  // Returns null when no account holds the key.
  [[nodiscard]] const ClientAccount* Find(std::string_view aKey) const;
  // Returns true when requests need no key at all.
  [[nodiscard]] bool IsEmpty() const noexcept { return mAccounts.empty(); }

private:
  std::vector<ClientAccount> mAccounts;
  // Index into mAccounts by key.
  std::unordered_map<std::string, std::size_t> mByKey;
};

// Returns the target that takes a request of the route: each target gets its
// weight's share of all hashes, and one hash always the same target. Null when
// no target has weight.
[[nodiscard]] const RouteTarget*
PickTarget(const Route& aRoute, std::uint64_t aHash) noexcept;

} // namespace bilberrytrail
