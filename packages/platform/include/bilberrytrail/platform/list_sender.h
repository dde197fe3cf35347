#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Intervals and limits of a ListSender.
struct ListSenderSettings
{
  // Interval between messages to a receiver that is up to date.
  Duration mHeartbeatInterval = 8s;
  // Pause before a message is repeated that got no response, or whose receiver
  // still has another list.
  Duration mRetryDelay = 1s;
  // Maximum number of messages in flight.
  std::size_t mMaxInFlight = 64;
};

// A message to send, with what the reader knows about its receiver.
struct ListMessage
{
  DaemonId mReceiver;
  // Digest of the list that the receiver last reported; empty when unknown.
  std::string mHeld;
  // The receiver's clock in its last response, and when that response arrived.
  std::optional<std::uint64_t> mClock;
  Instant mAnsweredAt;
};

// Decides when a reader of the list sends it to the other daemons of its
// availability zone: at once when the list has changed, else as a heartbeat. At
// most one message per receiver is in flight.
//
//   for (const auto& it : sender.Due(digest, now)) { send }
//   sender.OnAnswer(receiver, heldDigest, clock, now);   // or OnFailed
class ListSender
{
public:
  explicit ListSender(ListSenderSettings aSettings);

  // Sets the receivers; the state of receivers that are not listed is dropped.
  void SetReceivers(const std::vector<DaemonId>& aReceivers);
  // Returns the messages to send now; aDigest is that of the current list.
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
    // Digest of the list that was last sent.
    std::string mSentDigest;
    Instant mSentAt;
    bool mWasSent = false;
    bool mIsInFlight = false;
  };

  [[nodiscard]] bool IsDue(const Receiver& aReceiver,
                           const std::string& aDigest,
                           Instant aNow) const;

  ListSenderSettings mSettings;
  std::map<DaemonId, Receiver> mReceivers;
  std::size_t mInFlight = 0;
};

} // namespace bilberrytrail
