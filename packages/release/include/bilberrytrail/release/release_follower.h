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

// Intervals and limits of a ReleaseFollower.
struct FollowerSettings
{
  // Pause between two scans of the head rows.
  Duration mPollInterval = 2s;
  // Back-off before a failed scan or fetch is retried.
  Duration mRetryInterval = 500ms;
  // New work is refused when neither the table nor a peer has answered for
  // longer than this, or when a newer release has been known for longer than
  // this without being in force here.
  Duration mMaxStaleness = 6s;
  // Number of peers that must answer before a starting daemon is ready while
  // the table does not answer.
  std::size_t mMinPeersForReady = 2;
  // Most notes that are applied one by one; a follower that lags further reads
  // the whole body instead.
  std::uint64_t mMaxNotes = 8;
};

// Action: scan the head rows of all products (kReleaseHeadPrefix).
struct ScanHeads
{};
// Action: ask some peers for their heads.
struct RequestPeerHeads
{};
// Action: fetch a release row from the table, or from peers while the table
// is down.
struct FetchRelease
{
  ReleaseHead mHead;
  bool mFromPeers = false;
};
// Action: read the note rows from mFirst, the first after the release in
// force, up to the head's.
struct FetchNotes
{
  ReleaseHead mHead;
  ReleaseNumber mFirst;
};
// Action: a release is now in force on this daemon.
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

// Decides which release of each product is in force on this daemon. Release
// numbers only grow; a body is accepted only when its hash is the head's. A
// daemon that lags by a few notes applies them itself, and reads the whole
// body when the hash of the result differs from the head's.
//
//   ReleaseFollower follower(settings);
//   for (const auto& it : follower.Tick(now)) { ... }
//   follower.OnHeads(heads, now);
//   if (!follower.MayAccept(product, now)) { refuse as not run }
class ReleaseFollower
{
public:
  explicit ReleaseFollower(FollowerSettings aSettings);

  // Returns true once the table or enough peers have sent their heads and all
  // those releases are in force here.
  [[nodiscard]] bool IsReady() const;
  // Returns true when new work of the product may be accepted now.
  [[nodiscard]] bool MayAccept(const ProductId& aProduct, Instant aNow) const;
  // Returns the release in force, or null when there is none.
  [[nodiscard]] std::shared_ptr<const ReleaseBody> InForce(
    const ProductId& aProduct) const;
  // Returns the heads in force here, for the answer to a peer's request.
  [[nodiscard]] std::vector<ReleaseHead> HeadsInForce() const;

  // Runs the timers; has to be called several times a second.
  [[nodiscard]] FollowerActions Tick(Instant aNow);
  // Handles the table's answer to a scan of the head rows sent at aSentAt.
  [[nodiscard]] FollowerActions OnHeads(const std::vector<ReleaseHead>& aHeads,
                                        Instant aSentAt);
  // Handles a scan that failed or timed out.
  [[nodiscard]] FollowerActions OnHeadsFailed(Instant aNow);
  // Handles the heads that a peer answered with.
  [[nodiscard]] FollowerActions OnPeerHeads(
    const DaemonId& aPeer,
    const std::vector<ReleaseHead>& aHeads,
    Instant aNow);
  // Handles the number of a product's newest release received by gossip. It
  // also counts as contact with a peer.
  void OnGossipedNumber(const ProductId& aProduct,
                        ReleaseNumber aNumber,
                        Instant aNow);
  // Handles the value of a fetched release row. Returns nothing when it is not
  // newer than the release in force or does not match the head.
  [[nodiscard]] FollowerActions OnBody(const ReleaseHead& aHead,
                                       const std::string& aText,
                                       Instant aNow);
  // Handles the note rows read from aFetch.mFirst on; they are fewer than
  // requested when one is missing or malformed.
  [[nodiscard]] FollowerActions OnNotes(const FetchNotes& aFetch,
                                        const std::vector<NoteRow>& aNotes,
                                        Instant aNow);

private:
  struct Product
  {
    ReleaseHead mInForce;
    std::shared_ptr<const ReleaseBody> mBody;
    // Newest head received; its release is fetched while it is newer than the
    // one in force.
    ReleaseHead mNewestHead;
    // Newest number received, possibly without its head.
    ReleaseNumber mNewestNumber;
    Instant mNewestNumberAt;
    // Since when a release newer than the one in force has been known.
    std::optional<Instant> mBehindSince;
    Instant mNextFetch;
    // For heads up to this number, applying the notes failed or gave another
    // body than the head's; the whole body is fetched instead.
    ReleaseNumber mNotesFailedUpTo;
  };

  void RecordHead(const ReleaseHead& aHead, Instant aNow);
  void RecordNumber(Product& aProduct, ReleaseNumber aNumber, Instant aNow);
  void RecordContact(Instant aAt);
  void DropUnknownNumbers(Instant aSentAt);
  void FetchMissing(Instant aNow, FollowerActions& aActions);
  // Returns true when reading the notes after the release in force suffices.
  [[nodiscard]] bool CanApplyNotes(const Product& aProduct) const;
  FollowerActions PutInForce(const ReleaseHead& aHead,
                             ReleaseBody aBody,
                             Instant aNow);

  FollowerSettings mSettings;
  std::map<ProductId, Product> mProducts;
  std::set<DaemonId> mPeersAnswered;
  bool mTableAnswered = false;
  bool mTableDown = false;
  std::optional<Instant> mLastContact;
  Instant mNextScan;
};

} // namespace bilberrytrail
