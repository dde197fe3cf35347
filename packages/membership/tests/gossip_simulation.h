#pragma once

#include <bilberrytrail/membership/gossip.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Simulates gossiping daemons in virtual time, with a fixed network latency,
// random loss, stopped and paused daemons, and a partition by side. Every
// message is encoded and decoded, and its bytes are counted.
class GossipSimulation
{
public:
  static constexpr Duration kLatency = 3ms;
  static constexpr Duration kStep = 10ms;

  struct Node
  {
    Gossip mGossip;
    bool mRunning = true;
    bool mPaused = false;
    int mSide = 0;
    std::uint64_t mBytesSent = 0;
    std::uint64_t mMessagesSent = 0;
    std::map<DaemonId, MemberStatus> mSeen{};
  };

  explicit GossipSimulation(std::uint64_t aSeed, double aLoss = 0)
    : mRandom(aSeed)
    , mLoss(aLoss)
  {
  }

  static Endpoint AddressOf(std::size_t aIndex)
  {
    return { "10.0." + std::to_string(aIndex / 250) + "." +
               std::to_string(aIndex % 250),
             7000 };
  }

  // Adds a daemon at the address of aIndex, replacing any daemon there.
  void Add(std::size_t aIndex,
           const std::vector<Endpoint>& aListed,
           int aRun = 0,
           GossipSettings aSettings = {})
  {
    MemberRecord self;
    self.mEndpoint = AddressOf(aIndex);
    self.mId = DaemonId(ToText(self.mEndpoint) + "#" + std::to_string(aRun));
    self.mZone = ZoneId("zone-" + std::to_string(aIndex % 3));
    Node node{ Gossip(self, aSettings, mRandom.Next()) };
    node.mGossip.SetListedEndpoints(aListed);
    mNodes.erase(self.mEndpoint);
    mNodes.emplace(self.mEndpoint, std::move(node));
  }

  // Adds aCount daemons that know the first three addresses.
  void AddAll(std::size_t aCount)
  {
    std::vector<Endpoint> listed;
    for (std::size_t n = 0; n < std::min<std::size_t>(3, aCount); ++n) {
      listed.push_back(AddressOf(n));
    }
    for (std::size_t n = 0; n < aCount; ++n) {
      Add(n, listed);
    }
  }

  Node& At(std::size_t aIndex) { return mNodes.at(AddressOf(aIndex)); }
  [[nodiscard]] Instant Now() const { return mNow; }
  std::map<Endpoint, Node>& Nodes() { return mNodes; }

  void Run(Duration aLength)
  {
    const Instant end = mNow + aLength;
    while (mNow < end) {
      Step();
    }
  }

  // Runs until the condition holds. Returns the time it took, or nullopt when
  // it exceeded aLimit.
  template<class Condition>
  std::optional<Duration> RunUntil(Condition aCondition, Duration aLimit)
  {
    const Instant start = mNow;
    while (!aCondition()) {
      if (mNow - start > aLimit) {
        return std::nullopt;
      }
      Step();
    }
    return mNow - start;
  }

  // Returns whether each running daemon has aCount live members. The lists,
  // which are slow to build, are compared only when all counts agree.
  bool AllCount(std::size_t aCount)
  {
    return AllRunning([&](const Gossip& aGossip) {
             return aGossip.LiveCount() == aCount;
           }) &&
           AllRunning([&](const Gossip& aGossip) {
             return aGossip.LiveMembers().size() == aCount;
           });
  }

  void Deliver(Node& aNode, GossipActions aActions)
  {
    for (auto& it : aActions) {
      if (auto* send = std::get_if<SendGossip>(&it)) {
        SendPacket(aNode, *send);
      } else if (auto* changed = std::get_if<MemberChanged>(&it)) {
        aNode.mSeen[changed->mRecord.mId] = changed->mRecord.mStatus;
      }
    }
  }

private:
  struct Packet
  {
    Endpoint mTo;
    int mSide = 0;
    std::string mBytes;
  };

  template<class Condition>
  bool AllRunning(Condition aCondition)
  {
    return std::all_of(mNodes.begin(), mNodes.end(), [&](const auto& aItem) {
      const Node& node = aItem.second;
      return !node.mRunning || node.mPaused || aCondition(node.mGossip);
    });
  }

  void SendPacket(Node& aNode, const SendGossip& aSend)
  {
    std::string bytes = ToBytes(aSend.mMessage);
    aNode.mBytesSent += bytes.size();
    ++aNode.mMessagesSent;
    if (mRandom.Unit() >= mLoss) {
      mPackets.emplace(mNow + kLatency,
                       Packet{ aSend.mTo, aNode.mSide, std::move(bytes) });
    }
  }

  void Step()
  {
    mNow += kStep;
    while (!mPackets.empty() && mPackets.begin()->first <= mNow) {
      const Packet packet = std::move(mPackets.begin()->second);
      mPackets.erase(mPackets.begin());
      ReceivePacket(packet);
    }
    for (auto& [address, node] : mNodes) {
      if (node.mRunning && !node.mPaused && node.mGossip.NextTick() <= mNow) {
        Deliver(node, node.mGossip.Tick(mNow));
      }
    }
  }

  void ReceivePacket(const Packet& aPacket)
  {
    const auto it = mNodes.find(aPacket.mTo);
    if (it == mNodes.end() || !it->second.mRunning ||
        it->second.mSide != aPacket.mSide || it->second.mPaused) {
      return;
    }
    Result<GossipMessage> message = GossipMessageFromBytes(aPacket.mBytes);
    if (message) {
      Deliver(it->second, it->second.mGossip.Receive(message.value(), mNow));
    }
  }

  Random mRandom;
  double mLoss;
  Instant mNow;
  std::map<Endpoint, Node> mNodes;
  std::multimap<Instant, Packet> mPackets;
};

} // namespace bilberrytrail
