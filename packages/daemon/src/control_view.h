#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/membership/gossip_message.h>
#include <bilberrytrail/membership/rendezvous.h>
#include <bilberrytrail/platform/vm_list.h>
#include <bilberrytrail/release/release_note.h>

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bilberrytrail {

// One backend server or store VM as this daemon sees it.
struct BackendView
{
  VmEntry mVm;
  DaemonId mHome;
};

// The account that a bearer token names.
struct AccountView
{
  ProductId mProduct;
  AccountId mAccount;
};

// What a daemon knows of the site at one moment. Built by the control thread,
// immutable, and read by traffic threads without locks: each request keeps
// the view it started with.
struct ControlView
{
  DaemonId mSelf;
  ZoneId mZone;
  // Empty when the daemon takes new work, else the reason why it does not.
  std::string mNotReady;
  // The daemon is stopping: balancers and other daemons send no new work.
  bool mDraining = false;
  // The daemon takes no new work any more.
  bool mClosing = false;
  std::vector<MemberRecord> mMembers;
  std::vector<HomeCandidate> mHomes;
  // Daemons that died not long ago; those that left are not among them.
  std::set<DaemonId> mDead;
  std::map<ServerId, BackendView> mServers;
  std::map<ProductId, ProductState> mProducts;
  // Accounts by the SHA-256 of their token in hexadecimal digits.
  std::map<std::string, AccountView, std::less<>> mTokens;

  // Returns the live daemon with the id, or null.
  [[nodiscard]] const MemberRecord* FindMember(const DaemonId& aId) const;
  // Returns so many live daemons but for this one, picked at random.
  [[nodiscard]] std::vector<MemberRecord> RandomPeers(std::size_t aMost,
                                                      Random& aRandom) const;
  // Returns the product's state, or null.
  [[nodiscard]] const ProductState* FindProduct(const ProductId& aId) const;
  // Returns the servers of the product with the role that get new work, in
  // order of their ids; for plain services those of the group. The list lives
  // as long as the view.
  [[nodiscard]] const std::vector<ServerId>& UsableServers(
    const ProductId& aProduct,
    VmRole aRole,
    std::string_view aGroup) const;
  // Builds the lists of usable servers; to be called once, when all servers
  // are in the view.
  void IndexServers();

private:
  // Group is empty for roles whose servers are all alike.
  using UsableKey = std::tuple<ProductId, VmRole, std::string>;

  std::map<UsableKey, std::vector<ServerId>> mUsable;
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

// Hands the newest view from the control thread to all others.
class ControlViewHolder
{
public:
  [[nodiscard]] ControlViewPtr Load() const noexcept { return mView.load(); }

  void Store(ControlViewPtr aView) noexcept { mView.store(std::move(aView)); }

private:
  std::atomic<ControlViewPtr> mView{ std::make_shared<const ControlView>() };
};

} // namespace bilberrytrail
