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

// The complete prompt parts that the store VMs hold, according to the cache
// changes of the daemon that follows them. Soft state: a missing entry costs a
// computation. A store that has not answered within kFreshTime is not used,
// since it may have restarted: an entry from before the restart could name a
// part that is still being written. All times are on the boot clock, since a
// store may restart while this VM is suspended.
class CacheDirectory
{
public:
  // Shorter than any restart of a store.
  static constexpr Duration kFreshTime = 1100ms;
  // An upload that the store has not reported by then is planned again.
  static constexpr Duration kPendingTimeout = 3s;
  // Share of a store's link that uploads may take. With a smaller share,
  // recomputing prompts later costs more than the freed bandwidth saves.
  static constexpr double kUploadLinkShare = 1.0;
  // Number of pending uploads to a store from which on expired ones are
  // dropped; many times the number that begin within kPendingTimeout.
  static constexpr std::size_t kMaxPendingParts = 4096;
  // Time for which unused upload bandwidth accumulates.
  static constexpr Duration kUploadBurst = 1s;
  // Time to read a part from a store, as a share of the time to compute it: the
  // links carry about ten times what a server computes, but transfers queue.
  static constexpr double kFetchShare = 0.3;
  // Smallest total of shared parts worth a transfer, in tokens: fewer are
  // computed again in less time than the transfer takes to start.
  static constexpr std::uint64_t kMinTokens = 400;

  // Returns, for each part of a prompt, the store to read it from and the store
  // to upload it to; empty when no store is used. All shared parts of a prompt
  // go to one store, which rendezvous hashing of the last of them chooses,
  // weighted by capacity.
  [[nodiscard]] std::vector<CachePlace> Plan(const Prompt& aPrompt,
                                             const std::string& aSalt,
                                             std::uint64_t aTokenBytes,
                                             Instant aNow);
  // Returns the work, in tokens to compute, of providing the shared parts of a
  // prompt to a server that caches none of them. Parts that a store holds count
  // kFetchShare of their tokens.
  [[nodiscard]] double MissWork(const Prompt& aPrompt,
                                const std::string& aSalt,
                                Instant aNow);
  // Returns a time on the servers' clock; nothing before a store has reported
  // its clock.
  [[nodiscard]] std::optional<std::uint64_t> ServersClockMs(
    Instant aTime) const noexcept;
  // Returns the number of pending uploads.
  [[nodiscard]] std::size_t PendingParts() const noexcept;

  // Sets the number of daemons that share the links of the stores.
  void SetDaemons(std::size_t aDaemons) noexcept
  {
    mDaemons = std::max<std::size_t>(aDaemons, 1);
  }
  // Sets the list of stores.
  void SetStores(std::span<const CacheStore> aStores);
  // Applies cache changes. Those of a store that is not listed yet are kept
  // until it is.
  void Apply(const CachePage& aPage, Instant aNow);

private:
  struct Store
  {
    // Empty while the store is not listed.
    std::optional<CacheStore> mInfo;
    std::optional<Instant> mAnsweredAt;
    std::set<std::pair<std::string, std::string>> mParts;
    // Uploads that the store has not reported yet, with the time at which they
    // expire.
    std::map<std::pair<std::string, std::string>, Instant> mPending;
    // Bytes that may be uploaded to the store now.
    double mUploadBudget = 0;
    std::optional<Instant> mUploadBudgetAt;
  };

  [[nodiscard]] Store* StoreFor(const PromptPart& aPart, Instant aNow);
  [[nodiscard]] bool TakeUploadBudget(Store& aStore,
                                      double aBytes,
                                      Instant aNow) const;

  std::map<StoreId, Store> mStores;
  // The managed stores, as input of rendezvous hashing.
  std::vector<HomeCandidate> mCandidates;
  std::size_t mDaemons = 1;
  // Servers' clock minus this process's boot clock.
  std::optional<std::int64_t> mClockOffsetMs;
};

} // namespace bilberrytrail
