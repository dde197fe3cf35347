#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/release/release_body.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Times of a ReleaseFollower.
struct FollowerSettings
{
  // Pause between two scans of the head rows.
  Duration mPollInterval = 2s;
  // Pause before a scan or a fetch that failed is repeated.
  Duration mRetryInterval = 500ms;
  // Without word from the table or a peer for longer than this, and with a
  // newer release known but not fetched for longer than this, new work is
  // refused.
  Duration mMaxStaleness = 6s;
  // Peers that must answer before a starting daemon is ready while the table
  // does not.
  std::size_t mMinPeersForReady = 2;
  // Notes that are applied one after the other at most; over more the whole
  // body is read.
  std::uint64_t mMaxNotes = 8;
};

// Scan the head rows of all products (kReleaseHeadPrefix).
struct ScanHeads
{};
// Ask some peers for their heads.
struct RequestPeerHeads
{};
// Fetch a release row: from the table, or from peers while it is down.
struct FetchRelease
{
  ReleaseHead mHead;
  bool mFromPeers = false;
};
// Read the note rows behind the release in force up to the head's.
struct FetchNotes
{
  ReleaseHead mHead;
  ReleaseNumber mFirst;
};
// A release came in force on this daemon.
struct ReleaseInForce
{
  ReleaseHead mHead;
  std::shared_ptr<const ReleaseBody> mBody;
};
using FollowerAction = std::variant<ScanHeads,
                                    RequestPeerHeads,
                                    FetchRelease,
                                    FetchNotes,
                                    ReleaseInForce>;
using FollowerActions = std::vector<FollowerAction>;

// Decides which release of each product is in force on this daemon. Numbers
// only grow; a body counts only when its hash is the head's. A daemon that is
// a few notes behind applies them itself, and reads the whole body when what
// comes out is not what the head names.
//
//   ReleaseFollower follower(settings);
//   for (const auto& it : follower.Tick(now)) { ... }
//   follower.OnHeads(heads, now);
//   if (!follower.MayAccept(product, now)) { refuse as not run }
class ReleaseFollower
{
public:
  explicit ReleaseFollower(FollowerSettings aSettings);

  // True once the table or enough peers have named their heads and all those
  // releases are in force here.
  [[nodiscard]] bool IsReady() const;
  // True when new work of the product may be accepted now.
  [[nodiscard]] bool MayAccept(const ProductId& aProduct, Instant aNow) const;
  // The release in force, or nothing.
  [[nodiscard]] std::shared_ptr<const ReleaseBody> InForce(
    const ProductId& aProduct) const;
  // The heads in force here, to answer a peer's question with.
  [[nodiscard]] std::vector<ReleaseHead> HeadsInForce() const;

  // Runs the timers; to be called several times a second.
  [[nodiscard]] FollowerActions Tick(Instant aNow);
  // The table answered a scan of the head rows, sent at aSentAt.
  [[nodiscard]] FollowerActions OnHeads(const std::vector<ReleaseHead>& aHeads,
                                        Instant aSentAt);
  // The table did not answer a scan.
  [[nodiscard]] FollowerActions OnHeadsFailed(Instant aNow);
  // A peer answered with its heads.
  [[nodiscard]] FollowerActions OnPeerHeads(
    const DaemonId& aPeer,
    const std::vector<ReleaseHead>& aHeads,
    Instant aNow);
  // Gossip brought the number of a product's newest release; proof of a peer.
  void OnGossipedNumber(const ProductId& aProduct,
                        ReleaseNumber aNumber,
                        Instant aNow);
  // A fetch brought a row's value.
  [[nodiscard]] FollowerActions OnBody(const ReleaseHead& aHead,
                                       const std::string& aText,
                                       Instant aNow);
  // The note rows from aFirst on were read; fewer than asked for when one is
  // missing or malformed.
  [[nodiscard]] FollowerActions OnNotes(const FetchNotes& aFetch,
                                        const std::vector<NoteRow>& aNotes,
                                        Instant aNow);

private:
  struct Product
  {
    ReleaseHead mInForce;
    std::shared_ptr<const ReleaseBody> mBody;
    // Newest head known; fetched while newer than the one in force.
    ReleaseHead mKnown;
    // Newest number heard of, perhaps without its head.
    ReleaseNumber mHeard;
    Instant mHeardAt;
    // Since when a newer release has been known of.
    std::optional<Instant> mBehindSince;
    Instant mNextFetch;
    // Up to this number the notes did not lead to the head's body.
    ReleaseNumber mWholeUpTo;
  };

  void Note(const ReleaseHead& aHead, Instant aNow);
  void Hear(Product& aProduct, ReleaseNumber aNumber, Instant aNow);
  void Contact(Instant aAt);
  void DropFalseNumbers(Instant aSentAt);
  void FetchMissing(Instant aNow, FollowerActions& aActions);
  // Returns true when the notes behind the release in force are to be read.
  [[nodiscard]] bool IsNoteEnough(const Product& aProduct) const;
  FollowerActions PutInForce(const ReleaseHead& aHead,
                             ReleaseBody aBody,
                             Instant aNow);

  FollowerSettings mSettings;
  std::map<ProductId, Product> mProducts;
  std::set<DaemonId> mPeersHeard;
  bool mTableHeard = false;
  bool mTableDown = false;
  std::optional<Instant> mLastContact;
  Instant mNextScan;
};

} // namespace bilberrytrail
