#pragma once

#include "homed_server.h"
#include "peer_channel.h"

#include <bilberrytrail/traffic/server_health.h>

#include <map>
#include <memory>
#include <mutex>

namespace bilberrytrail {

// Finds slow servers among those of this home from the times of their
// answers, also of those that have not come yet. Thread-safe.
class HealthWatch
{
public:
  explicit HealthWatch(std::unique_ptr<ServerHealth> aHealth);

  // Returns the weight in (0, 1] for choosing the server.
  [[nodiscard]] double Weight(const ServerId& aServer) const;

  void AddSample(const ServerId& aServer, const HealthSample& aSample);
  // Notes that something is awaited from the server and takes the predicted
  // time; returns its number.
  [[nodiscard]] std::uint64_t BeginWait(const ServerId& aServer,
                                        Duration aPredicted);
  void EndWait(std::uint64_t aNumber);
  // Returns true when a request that can wait should try the slow server.
  [[nodiscard]] bool TakeProbe(const ServerId& aServer);
  void Forget(const ServerId& aServer);
  // Reports waits that are past their predicted time.
  void Tick(Instant aNow);

private:
  struct Wait
  {
    ServerId mServer;
    Duration mPredicted;
    Instant mBegan;
    // The next multiple of the predicted time that is reported.
    int mMultiple = 2;
  };

  mutable std::mutex mMutex;
  std::unique_ptr<ServerHealth> mHealth;
  std::map<std::uint64_t, Wait> mWaits;
  std::uint64_t mLastNumber = 0;
};

// Stands between one run on an engine and the receiver of its frames, and
// compares the times of the frames with those predicted for the server.
class HealthSink final : public FrameSink
{
public:
  HealthSink(HealthWatch& aWatch,
             HomedServerPtr aServer,
             const HomeRequest& aRequest,
             FrameSink& aSink);
  ~HealthSink() override;
  HealthSink(const HealthSink&) = delete;
  HealthSink& operator=(const HealthSink&) = delete;

  [[nodiscard]] bool IsOpen() noexcept override { return mSink.IsOpen(); }
  Result<void> Write(const HomeFrame& aFrame) override;
  void NoteSent() override;

private:
  void OnHead(const GenerateHead& aHead);
  void OnChunk();
  void EndWait();

  HealthWatch& mWatch;
  HomedServerPtr mServer;
  const HomeRequest& mRequest;
  FrameSink& mSink;
  ServerSpeed mSpeed;
  Instant mSentAt{};
  // Time of the last token that a sample began with.
  Instant mSampleBegan{};
  Duration mPredictedPrefill{};
  std::uint32_t mTokens = 0;
  std::uint64_t mWait = 0;
};

} // namespace bilberrytrail
