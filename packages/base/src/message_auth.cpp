#include <bilberrytrail/base/message_auth.h>

#include <bilberrytrail/base/digest.h>

#include "message_wire.h"

#include <algorithm>
#include <bitset>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

namespace bilberrytrail {

namespace {

// Width of the replay window of one sender, in sequence numbers: messages may
// arrive out of order within it.
constexpr std::size_t kReplayBits = 8192;
// Receivers with a sequence of their own. Beyond it, all sequences restart
// above the highest number used.
constexpr std::size_t kMaxReceivers = 4096;

// Tracks which of the newest kReplayBits sequence numbers of a sender were
// seen.
class ReplayWindow
{
public:
  // Returns true the first time that a number is seen; false when it was
  // seen before or is older than the window.
  bool Accept(std::uint64_t aSequence)
  {
    if (!mHasNewest || aSequence > mNewest) {
      Advance(aSequence);
    } else if (mNewest - aSequence >= kReplayBits) {
      return false;
    }
    const auto bit = aSequence % kReplayBits;
    const bool isNew = !mSeen.test(bit);
    mSeen.set(bit);
    return isNew;
  }

private:
  void Advance(std::uint64_t aSequence)
  {
    if (!mHasNewest || aSequence - mNewest >= kReplayBits) {
      mSeen.reset();
    } else {
      for (auto n = mNewest + 1; n <= aSequence; ++n) {
        mSeen.reset(n % kReplayBits);
      }
    }
    mNewest = aSequence;
    mHasNewest = true;
  }

  bool mHasNewest = false;
  std::uint64_t mNewest = 0;
  std::bitset<kReplayBits> mSeen;
};

struct Sender
{
  ReplayWindow mWindow;
  std::int64_t mNewestMillis = 0;
};

} // namespace

class MessageSealer::Impl
{
public:
  // Returns the next sequence number of a receiver.
  std::uint64_t Next(const DaemonId& aReceiver)
  {
    const std::scoped_lock lock(mMutex);
    if (mSequences.size() >= kMaxReceivers && !mSequences.contains(aReceiver)) {
      mSequences.clear();
      mFirst = mHighest + 1;
    }
    auto& sequence = mSequences.try_emplace(aReceiver, mFirst).first->second;
    mHighest = std::max(mHighest, sequence);
    return sequence++;
  }

  std::string mSiteKey;
  DaemonId mSelf;
  std::uint64_t mFirst = 0;

private:
  std::mutex mMutex;
  std::uint64_t mHighest = 0;
  std::unordered_map<DaemonId, std::uint64_t> mSequences;
};

MessageSealer::MessageSealer(std::string aSiteKey,
                             DaemonId aSelf,
                             std::uint64_t aFirstSequence)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mSiteKey = std::move(aSiteKey);
  mImpl->mSelf = std::move(aSelf);
  mImpl->mFirst = aFirstSequence;
}

MessageSealer::~MessageSealer() = default;

std::string
MessageSealer::Seal(const DaemonId& aReceiver,
                    std::string_view aBody,
                    std::int64_t aNowMillis)
{
  MessageParts parts;
  parts.mSender = mImpl->mSelf;
  parts.mReceiver = aReceiver;
  parts.mSequence = mImpl->Next(aReceiver);
  parts.mTimeMillis = aNowMillis;
  parts.mBody = aBody;
  auto wire = JoinMessage(parts);
  wire += MessageMac(mImpl->mSiteKey, wire);
  return wire;
}

class MessageOpener::Impl
{
public:
  // Says why an authentic message is not accepted now, if so.
  std::optional<MessageFault> Admit(const MessageParts& aParts,
                                    std::int64_t aNowMillis)
  {
    const auto window = mLimits.mWindowMillis;
    if (aParts.mTimeMillis < mLimits.mNotBeforeMillis ||
        aParts.mTimeMillis < aNowMillis - window ||
        aParts.mTimeMillis > aNowMillis + window) {
      return MessageFault::Old;
    }
    auto it = mSenders.find(aParts.mSender);
    if (it == mSenders.end()) {
      if (mSenders.size() >= mLimits.mMaxSenders) {
        DropExpiredSenders(aNowMillis);
      }
      if (mSenders.size() >= mLimits.mMaxSenders) {
        return MessageFault::TooManySenders;
      }
      it = mSenders.try_emplace(aParts.mSender).first;
    } else if (it->second.mNewestMillis < aNowMillis - window) {
      it->second = Sender();
    }
    if (!it->second.mWindow.Accept(aParts.mSequence)) {
      return MessageFault::Replayed;
    }
    it->second.mNewestMillis =
      std::max(it->second.mNewestMillis, aParts.mTimeMillis);
    return std::nullopt;
  }

  std::string mSiteKey;
  DaemonId mSelf;
  MessageLimits mLimits;
  std::unordered_map<DaemonId, Sender> mSenders;

private:
  // Drops the senders whose messages are all too old to be accepted again.
  void DropExpiredSenders(std::int64_t aNowMillis)
  {
    std::erase_if(mSenders, [&](const auto& aEntry) {
      return aEntry.second.mNewestMillis < aNowMillis - mLimits.mWindowMillis;
    });
  }
};

MessageOpener::MessageOpener(std::string aSiteKey,
                             DaemonId aSelf,
                             const MessageLimits& aLimits)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mSiteKey = std::move(aSiteKey);
  mImpl->mSelf = std::move(aSelf);
  mImpl->mLimits = aLimits;
}

MessageOpener::~MessageOpener() = default;

std::size_t
MessageOpener::SenderCount() const noexcept
{
  return mImpl->mSenders.size();
}

Result<OpenedMessage, MessageFault>
MessageOpener::Open(std::string_view aWire, std::int64_t aNowMillis)
{
  auto parts = SplitMessage(aWire);
  if (!parts) {
    return MessageFault::Malformed;
  }
  if (!ConstantTimeEqual(MessageMac(mImpl->mSiteKey, parts->mCovered),
                         parts->mMac)) {
    return MessageFault::BadMac;
  }
  if (parts->mReceiver != mImpl->mSelf) {
    return MessageFault::WrongReceiver;
  }
  if (const auto fault = mImpl->Admit(*parts, aNowMillis)) {
    return *fault;
  }
  return OpenedMessage{ std::move(parts->mSender),
                        parts->mSequence,
                        std::string(parts->mBody) };
}

} // namespace bilberrytrail
