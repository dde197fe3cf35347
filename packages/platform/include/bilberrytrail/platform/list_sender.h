#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Times and bounds of a ListSender.
struct ListSenderSettings
{
  // Longest time without a message to a receiver that is up to date.
  Duration mHeartbeatInterval = 8s;
  // Pause before a message is repeated that had no answer, or whose receiver
  // still holds another list.
  Duration mRetry = 1s;
  // Messages under way at the same time.
  std::size_t mMaxUnderWay = 64;
};

// What a reader knows of a receiver when it sends.
struct ListMessage
{
  DaemonId mReceiver;
  // Digest of the list that the receiver held; empty when not known.
  std::string mHeld;
  // The receiver's clock in its last answer, and when that answer came.
  std::optional<std::uint64_t> mClock;
  Instant mAnsweredAt;
};

// Decides when a reader of the list tells which daemons of its availability
// zone: at once when the list has changed, else as a heartbeat. At most one
// message is under way to a receiver.
//
//   for (const auto& it : sender.Due(digest, now)) { send }
//   sender.OnAnswer(receiver, heldDigest, clock, now);   // or OnFailed
class ListSender
{
public:
  explicit ListSender(ListSenderSettings aSettings);

  // Sets the daemons that are told; what is known of the others is dropped.
  void SetReceivers(const std::vector<DaemonId>& aReceivers);
  // Returns the messages to send now with the list of the digest.
  [[nodiscard]] std::vector<ListMessage> Due(const std::string& aDigest,
                                             Instant aNow);
  void OnAnswer(const DaemonId& aReceiver,
                const std::string& aHeld,
                std::uint64_t aClock,
                Instant aNow);
  void OnFailed(const DaemonId& aReceiver);

private:
  struct Receiver
  {
    ListMessage mKnown;
    // Digest that was last sent.
    std::string mSent;
    Instant mSentAt;
    bool mWasSent = false;
    bool mIsUnderWay = false;
  };

  [[nodiscard]] bool IsDue(const Receiver& aReceiver,
                           const std::string& aDigest,
                           Instant aNow) const;

  ListSenderSettings mSettings;
  std::map<DaemonId, Receiver> mReceivers;
  std::size_t mUnderWay = 0;
};

} // namespace bilberrytrail
