#pragma once

#include <bilberrytrail/entry/site_config.h>

#include <map>
#include <string_view>
#include <unordered_map>

namespace bilberrytrail {

// Finds the route of a request: of the routes of its host, the one with the
// longest prefix that its path begins with.
//
//   RouteTable table(config.mRoutes);
//   const Route* route = table.Find("guide.example", "/fold/7?page=2");
class RouteTable
{
public:
  explicit RouteTable(const std::vector<Route>& aRoutes);

  // Returns null when no route matches. The port in aHost and the query in
  // aTarget are ignored.
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
  // Returns whether no accounts are configured, so that requests need no key.
  [[nodiscard]] bool IsEmpty() const noexcept { return mAccounts.empty(); }

private:
  std::vector<ClientAccount> mAccounts;
  // Index into mAccounts by key.
  std::unordered_map<std::string, std::size_t> mByKey;
};

// Returns the target for a request with this hash: each target gets the share
// of all hashes that its weight gives it, and a hash always gets the same
// target. Null when no target has weight.
[[nodiscard]] const RouteTarget*
PickTarget(const Route& aRoute, std::uint64_t aHash) noexcept;

} // namespace bilberrytrail
