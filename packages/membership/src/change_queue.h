#pragma once

#include <bilberrytrail/membership/gossip_message.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace bilberrytrail {

// Changes to disseminate. Each is sent a limited number of times, the least
// often sent first. A newer change of a member or number replaces the older
// one.
class ChangeQueue
{
public:
  [[nodiscard]] std::size_t Size() const noexcept { return mChanges.size(); }

  void Push(const MemberRecord& aRecord);
  void Push(const SharedNumber& aNumber);
  // Adds changes of up to aBytes in total to a message. A change that has been
  // sent aTimes times is removed from the queue.
  void Fill(GossipMessage& aMessage, std::size_t aBytes, std::size_t aTimes);

private:
  struct Change
  {
    std::size_t mSent = 0;
    std::uint64_t mOrder = 0;
    bool mIsMember = true;
    MemberRecord mMember;
    SharedNumber mNumber;
  };

  std::map<std::string, Change> mChanges;
  std::uint64_t mPushed = 0;
};

// Returns an upper bound on the encoded size of an item, in bytes.
[[nodiscard]] std::size_t
EncodedSize(const MemberRecord& aRecord) noexcept;
[[nodiscard]] std::size_t
EncodedSize(const SharedNumber& aNumber) noexcept;

} // namespace bilberrytrail
