#include <bilberrytrail/release/release_follower.h>

#include <bilberrytrail/base/digest.h>

#include <algorithm>

namespace bilberrytrail {

ReleaseFollower::ReleaseFollower(FollowerSettings aSettings)
  : mSettings(aSettings)
{
}

bool
ReleaseFollower::IsReady() const
{
  if (!mTableAnswered && mPeersAnswered.size() < mSettings.mMinPeersForReady) {
    return false;
  }
  return std::all_of(mProducts.begin(), mProducts.end(), [](const auto& aItem) {
    const Product& product = aItem.second;
    return product.mInForce.mNumber >= product.mNewestHead.mNumber;
  });
}

bool
ReleaseFollower::MayAccept(const ProductId& aProduct, Instant aNow) const
{
  const auto it = mProducts.find(aProduct);
  if (it == mProducts.end() || it->second.mBody == nullptr) {
    return false;
  }
  const bool hasHeads =
    mTableAnswered || mPeersAnswered.size() >= mSettings.mMinPeersForReady;
  const bool inContact =
    mLastContact && aNow - *mLastContact <= mSettings.mMaxStaleness;
  const auto& behindSince = it->second.mBehindSince;
  const bool isCurrent =
    !behindSince || aNow - *behindSince <= mSettings.mMaxStaleness;
  return hasHeads && inContact && isCurrent;
}

std::shared_ptr<const ReleaseBody>
ReleaseFollower::InForce(const ProductId& aProduct) const
{
  const auto it = mProducts.find(aProduct);
  return it == mProducts.end() ? nullptr : it->second.mBody;
}

std::vector<ReleaseHead>
ReleaseFollower::HeadsInForce() const
{
  std::vector<ReleaseHead> heads;
  for (const auto& [id, product] : mProducts) {
    if (product.mBody != nullptr) {
      heads.push_back(product.mInForce);
    }
  }
  return heads;
}

FollowerActions
ReleaseFollower::Tick(Instant aNow)
{
  FollowerActions actions;
  if (aNow >= mNextScan) {
    mNextScan = aNow + mSettings.mPollInterval;
    actions.emplace_back(ScanHeads{});
  }
  FetchMissing(aNow, actions);
  return actions;
}

FollowerActions
ReleaseFollower::OnHeads(const std::vector<ReleaseHead>& aHeads,
                         Instant aSentAt)
{
  mTableAnswered = true;
  mTableDown = false;
  RecordContact(aSentAt);
  for (const auto& it : aHeads) {
    RecordHead(it, aSentAt);
  }
  DropUnknownNumbers(aSentAt);
  FollowerActions actions;
  FetchMissing(aSentAt, actions);
  return actions;
}

FollowerActions
ReleaseFollower::OnHeadsFailed(Instant aNow)
{
  mTableDown = true;
  mNextScan = std::min(mNextScan, aNow + mSettings.mRetryInterval);
  return { RequestPeerHeads{} };
}

FollowerActions
ReleaseFollower::OnPeerHeads(const DaemonId& aPeer,
                             const std::vector<ReleaseHead>& aHeads,
                             Instant aNow)
{
  // A peer without a release in force does not count towards readiness: it
  // knows no more than this daemon.
  if (!aHeads.empty()) {
    mPeersAnswered.insert(aPeer);
  }
  RecordContact(aNow);
  for (const auto& it : aHeads) {
    RecordHead(it, aNow);
  }
  FollowerActions actions;
  FetchMissing(aNow, actions);
  return actions;
}

void
ReleaseFollower::OnGossipedNumber(const ProductId& aProduct,
                                  ReleaseNumber aNumber,
                                  Instant aNow)
{
  RecordContact(aNow);
  Product& product = mProducts[aProduct];
  RecordNumber(product, aNumber, aNow);
  if (product.mNewestHead.mNumber < aNumber) {
    mNextScan = std::min(mNextScan, aNow);
  }
}

FollowerActions
ReleaseFollower::OnBody(const ReleaseHead& aHead,
                        const std::string& aText,
                        Instant aNow)
{
  Product& product = mProducts[aHead.mProduct];
  if (aHead.mNumber <= product.mInForce.mNumber ||
      Sha256Hex(aText) != aHead.mHash) {
    return {};
  }
  auto body = ReleaseBodyFromText(aText);
  if (!body || body.value().mState.mNumber != aHead.mNumber ||
      body.value().mState.mProduct != aHead.mProduct) {
    return {};
  }
  return PutInForce(aHead, std::move(body).value(), aNow);
}

FollowerActions
ReleaseFollower::OnNotes(const FetchNotes& aFetch,
                         const std::vector<NoteRow>& aNotes,
                         Instant aNow)
{
  Product& product = mProducts[aFetch.mHead.mProduct];
  const ReleaseNumber inForce = product.mInForce.mNumber;
  if (aFetch.mHead.mNumber <= inForce) {
    return {};
  }
  if (product.mBody != nullptr && aFetch.mFirst == inForce.Next()) {
    auto body = BodyAfter(product.mBody->mState, aNotes);
    if (body && body.value().mState.mNumber == aFetch.mHead.mNumber &&
        Sha256Hex(ToText(body.value())) == aFetch.mHead.mHash) {
      return PutInForce(aFetch.mHead, std::move(body).value(), aNow);
    }
  }
  product.mNotesFailedUpTo =
    std::max(product.mNotesFailedUpTo, aFetch.mHead.mNumber);
  product.mNextFetch = aNow;
  FollowerActions actions;
  FetchMissing(aNow, actions);
  return actions;
}

FollowerActions
ReleaseFollower::PutInForce(const ReleaseHead& aHead,
                            ReleaseBody aBody,
                            Instant aNow)
{
  Product& product = mProducts[aHead.mProduct];
  product.mInForce = aHead;
  product.mBody = std::make_shared<const ReleaseBody>(std::move(aBody));
  product.mBehindSince.reset();
  RecordNumber(product,
               std::max(product.mNewestNumber, product.mNewestHead.mNumber),
               aNow);
  return { ReleaseInForce{ aHead, product.mBody } };
}

void
ReleaseFollower::RecordHead(const ReleaseHead& aHead, Instant aNow)
{
  Product& product = mProducts[aHead.mProduct];
  if (aHead.mNumber > product.mNewestHead.mNumber) {
    product.mNewestHead = aHead;
    product.mNextFetch = aNow;
  }
  RecordNumber(product, aHead.mNumber, aNow);
}

void
ReleaseFollower::RecordNumber(Product& aProduct,
                              ReleaseNumber aNumber,
                              Instant aNow)
{
  if (aNumber > aProduct.mNewestNumber) {
    aProduct.mNewestNumber = aNumber;
    aProduct.mNewestNumberAt = aNow;
  }
  if (aProduct.mNewestNumber > aProduct.mInForce.mNumber &&
      !aProduct.mBehindSince) {
    aProduct.mBehindSince = aNow;
  }
}

void
ReleaseFollower::RecordContact(Instant aAt)
{
  mLastContact = mLastContact ? std::max(*mLastContact, aAt) : aAt;
}

// A number received before the scan was sent and higher than the table's
// newest does not exist, so it must not cause new work to be refused.
void
ReleaseFollower::DropUnknownNumbers(Instant aSentAt)
{
  for (auto& [id, product] : mProducts) {
    if (product.mNewestNumber <= product.mNewestHead.mNumber ||
        aSentAt <= product.mNewestNumberAt) {
      continue;
    }
    product.mNewestNumber = product.mNewestHead.mNumber;
    if (product.mInForce.mNumber >= product.mNewestNumber) {
      product.mBehindSince.reset();
    }
  }
}

void
ReleaseFollower::FetchMissing(Instant aNow, FollowerActions& aActions)
{
  for (auto& [id, product] : mProducts) {
    const bool isMissing =
      product.mNewestHead.mNumber > product.mInForce.mNumber;
    if (!isMissing || aNow < product.mNextFetch) {
      continue;
    }
    product.mNextFetch = aNow + mSettings.mRetryInterval;
    if (CanApplyNotes(product)) {
      aActions.emplace_back(
        FetchNotes{ product.mNewestHead, product.mInForce.mNumber.Next() });
    } else {
      aActions.emplace_back(FetchRelease{ product.mNewestHead, mTableDown });
    }
  }
}

bool
ReleaseFollower::CanApplyNotes(const Product& aProduct) const
{
  const std::uint64_t lag =
    aProduct.mNewestHead.mNumber.Value() - aProduct.mInForce.mNumber.Value();
  return !mTableDown && aProduct.mBody != nullptr &&
         lag <= mSettings.mMaxNotes &&
         aProduct.mNewestHead.mNumber > aProduct.mNotesFailedUpTo;
}

} // namespace bilberrytrail
