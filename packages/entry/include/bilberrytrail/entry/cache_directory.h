#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/entry/backend_call.h>
#include <bilberrytrail/entry/cache_change_log.h>
#include <bilberrytrail/membership/rendezvous.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Which complete parts of prompts the store VMs keep, from the news of the
// daemon that follows them. Soft state: what is missing here costs a
// computation. A store that did not answer within kFreshTime is not used, since
// it may have started anew: an entry from before could name a part that is
// being written again.
class CacheDirectory
{
public:
  // Shorter than any restart of a store takes.
  static constexpr Duration kFreshTime = 1100ms;
  // A part that was to be kept and does not show for so long is kept again.
  static constexpr Duration kPendingTimeout = 3s;
  // Share of a store's link that parts on their way to it may take. Less of it
  // costs more reading of prompts later than it frees of the link.
  static constexpr double kUploadLinkShare = 1.0;
  // Parts on their way to a store that are remembered before those that did
  // not show in time are forgotten; many times those of kPendingTimeout.
  static constexpr std::size_t kMaxPendingParts = 4096;
  // Time for which unused room on the link is saved up.
  static constexpr Duration kUploadBurst = 1s;
  // Time to read a part from a store, as a share of the time to compute it: the
  // links carry some ten times what a server computes, but queue.
  static constexpr double kFetchShare = 0.3;
  // Smallest part worth a transfer, in tokens: smaller ones are read again in
  // less time than the transfer takes to start.
  static constexpr std::uint64_t kMinTokens = 400;

  // Returns, for each part of a prompt, the store to read it from and the
  // store to keep it at. All shared parts of a prompt go to one store, chosen
  // by the last of them, the stores weighted by their room.
  [[nodiscard]] std::vector<CachePlace> Plan(const Prompt& aPrompt,
                                             const std::string& aSalt,
                                             std::uint64_t aTokenBytes,
                                             Instant aNow);
  // Returns the work of having the shared parts of a prompt at a server that
  // keeps none of them, in tokens to read: parts that a store keeps take
  // kFetchShare of it.
  [[nodiscard]] double MissWork(const Prompt& aPrompt,
                                const std::string& aSalt,
                                Instant aNow);
  // Returns a time on the servers' clock; nothing before any store told it.
  [[nodiscard]] std::optional<std::uint64_t> ServersClockMs(
    Instant aTime) const noexcept;
  // Returns the number of parts that are thought to be on their way.
  [[nodiscard]] std::size_t PendingParts() const noexcept;

  // Sets the number of daemons that share the links of the stores.
  void SetDaemons(std::size_t aDaemons) noexcept
  {
    mDaemons = std::max<std::size_t>(aDaemons, 1);
  }
  // Takes in the list of stores.
  void SetStores(std::span<const CacheStore> aStores);
  // Takes in news. Those of a store that is not listed yet are kept for when
  // it is.
  void Apply(const CachePage& aPage, Instant aNow);

private:
  struct Store
  {
    // Nothing while the store is not listed.
    std::optional<CacheStore> mInfo;
    std::optional<Instant> mAnsweredAt;
    std::set<std::pair<std::string, std::string>> mParts;
    // Parts on their way to the store, and until when they count as such.
    std::map<std::pair<std::string, std::string>, Instant> mPending;
    // Bytes that may go to the store now.
    double mUploadBudget = 0;
    std::optional<Instant> mUploadBudgetAt;
  };

  [[nodiscard]] Store* StoreFor(const PromptPart& aPart, Instant aNow);
  [[nodiscard]] bool TakeUploadBudget(Store& aStore,
                                      double aBytes,
                                      Instant aNow) const;

  std::map<StoreId, Store> mStores;
  // The listed stores that may be used, as rendezvous hashing takes them.
  std::vector<HomeCandidate> mCandidates;
  std::size_t mDaemons = 1;
  // The servers' clock at the start of this process's monotonic clock.
  std::optional<std::int64_t> mClockOffsetMs;
};

} // namespace bilberrytrail
