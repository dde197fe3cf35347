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
  if (!mTableHeard && mPeersHeard.size() < mSettings.mMinPeersForReady) {
    return false;
  }
  return std::all_of(mProducts.begin(), mProducts.end(), [](const auto& aItem) {
    const Product& product = aItem.second;
    return product.mInForce.mNumber >= product.mKnown.mNumber;
  });
}

bool
ReleaseFollower::MayAccept(const ProductId& aProduct, Instant aNow) const
{
  const auto it = mProducts.find(aProduct);
  if (it == mProducts.end() || it->second.mBody == nullptr) {
    return false;
  }
  const bool isHeardOf =
    mTableHeard || mPeersHeard.size() >= mSettings.mMinPeersForReady;
  const bool inContact =
    mLastContact && aNow - *mLastContact <= mSettings.mMaxStaleness;
  const auto& behindSince = it->second.mBehindSince;
  const bool isCurrent =
    !behindSince || aNow - *behindSince <= mSettings.mMaxStaleness;
  return isHeardOf && inContact && isCurrent;
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
  mTableHeard = true;
  mTableDown = false;
  Contact(aSentAt);
  for (const auto& it : aHeads) {
    Note(it, aSentAt);
  }
  DropFalseNumbers(aSentAt);
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
  // A peer that has nothing in force knows no more than this daemon.
  if (!aHeads.empty()) {
    mPeersHeard.insert(aPeer);
  }
  Contact(aNow);
  for (const auto& it : aHeads) {
    Note(it, aNow);
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
  Contact(aNow);
  Product& product = mProducts[aProduct];
  Hear(product, aNumber, aNow);
  if (product.mKnown.mNumber < aNumber) {
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
  product.mWholeUpTo = std::max(product.mWholeUpTo, aFetch.mHead.mNumber);
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
  Hear(product, std::max(product.mHeard, product.mKnown.mNumber), aNow);
  return { ReleaseInForce{ aHead, product.mBody } };
}

void
ReleaseFollower::Note(const ReleaseHead& aHead, Instant aNow)
{
  Product& product = mProducts[aHead.mProduct];
  if (aHead.mNumber > product.mKnown.mNumber) {
    product.mKnown = aHead;
    product.mNextFetch = aNow;
  }
  Hear(product, aHead.mNumber, aNow);
}

void
ReleaseFollower::Hear(Product& aProduct, ReleaseNumber aNumber, Instant aNow)
{
  if (aNumber > aProduct.mHeard) {
    aProduct.mHeard = aNumber;
    aProduct.mHeardAt = aNow;
  }
  if (aProduct.mHeard > aProduct.mInForce.mNumber && !aProduct.mBehindSince) {
    aProduct.mBehindSince = aNow;
  }
}

void
ReleaseFollower::Contact(Instant aAt)
{
  mLastContact = mLastContact ? std::max(*mLastContact, aAt) : aAt;
}

// A number heard before the table was asked, and higher than the table's, does
// not exist: it must not keep new work out.
void
ReleaseFollower::DropFalseNumbers(Instant aSentAt)
{
  for (auto& [id, product] : mProducts) {
    if (product.mHeard <= product.mKnown.mNumber ||
        aSentAt <= product.mHeardAt) {
      continue;
    }
    product.mHeard = product.mKnown.mNumber;
    if (product.mInForce.mNumber >= product.mHeard) {
      product.mBehindSince.reset();
    }
  }
}

void
ReleaseFollower::FetchMissing(Instant aNow, FollowerActions& aActions)
{
  for (auto& [id, product] : mProducts) {
    const bool isMissing = product.mKnown.mNumber > product.mInForce.mNumber;
    if (!isMissing || aNow < product.mNextFetch) {
      continue;
    }
    product.mNextFetch = aNow + mSettings.mRetryInterval;
    if (IsNoteEnough(product)) {
      aActions.emplace_back(
        FetchNotes{ product.mKnown, product.mInForce.mNumber.Next() });
    } else {
      aActions.emplace_back(FetchRelease{ product.mKnown, mTableDown });
    }
  }
}

bool
ReleaseFollower::IsNoteEnough(const Product& aProduct) const
{
  const std::uint64_t behind =
    aProduct.mKnown.mNumber.Value() - aProduct.mInForce.mNumber.Value();
  return !mTableDown && aProduct.mBody != nullptr &&
         behind <= mSettings.mMaxNotes &&
         aProduct.mKnown.mNumber > aProduct.mWholeUpTo;
}

} // namespace bilberrytrail
