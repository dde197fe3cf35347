#pragma once

#include "control_view.h"
#include "home_queue.h"

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/base/time.h>

#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_set>
#include <vector>

namespace bilberrytrail {

// Speeds of a server as its home observes them.
struct ServerSpeed
{
  double mPrefillTokensPerSecond = 0;
  double mDecodeTokensPerSecond = 0;
};

// A backend server at its home: its queue and what is known of it.
// Thread-safe.
class HomedServer
{
public:
  HomedServer(VmEntry aVm, std::unique_ptr<ServerQueue> aQueue);

  [[nodiscard]] const VmEntry& Vm() const noexcept { return mVm; }
  // Returns the present queue; it lives as long as the server.
  [[nodiscard]] HomeQueue& Queue() const;
  [[nodiscard]] bool IsDrained() const;
  // Returns the last state that the engine reported.
  [[nodiscard]] std::optional<EngineState> State() const;
  // Returns the time since the engine's last report.
  [[nodiscard]] std::optional<Duration> ReportAge(Instant aNow) const;
  // Returns whether the engine reported that it serves the version.
  // Returns the version of the model that an engine loaded last and serves;
  // empty when it serves none.
  [[nodiscard]] VersionId NewestServed(const ModelId& aModel) const;
  [[nodiscard]] bool Serves(const ModelId& aModel,
                            const VersionId& aVersion) const;
  // Returns whether at most half of the server's slots are taken.
  [[nodiscard]] bool HasRoom() const;
  // Returns whether new work goes to the server.
  [[nodiscard]] bool TakesWork(Instant aNow) const;
  [[nodiscard]] ServerSpeed Speed() const;
  // Returns the estimated time to run a request of the given size.
  [[nodiscard]] Duration EstimateService(double aPromptTokens,
                                         double aAnswerTokens) const;

  // Returns the time that the server needs for the prompts that it is
  // computing.
  [[nodiscard]] Duration PrefillBacklog() const;

  // Returns how many blocks are known as resident.
  [[nodiscard]] std::size_t ResidentBlocks() const;
  // Returns how many of the blocks, from the first on, are resident.
  [[nodiscard]] std::uint32_t ResidentPrefix(
    std::span<const BlockId> aBlocks) const;

  // Returns how many of the blocks, from the first on, the server may be asked
  // to use.
  [[nodiscard]] std::size_t TrustedPrefix(
    std::span<const BlockId> aBlocks) const;

  // Refuses all waiting work and takes no more.
  void Drain(Instant aNow);
  // Takes work again after Drain, through a fresh queue.
  void Reopen(std::unique_ptr<ServerQueue> aQueue);
  void SetState(EngineState aState);
  // Takes in blocks that the engine cached or evicted.
  void NoteCached(std::span<const BlockId> aBlocks);
  void NoteEvicted(std::span<const BlockId> aBlocks);
  // Notes that the server computes so many tokens of a prompt, and that it has
  // done so or given up.
  void BeginPrefill(double aTokens);
  void EndPrefill(double aTokens);
  // The server may have read the block from a store in a state that was not
  // the one asked for: it is not used until the server has evicted it.
  void Distrust(BlockId aBlock);
  // Forgets which blocks are resident, after a restart; returns them.
  std::vector<BlockId> ForgetResident();
  // Forgets which blocks are resident, as an event was missed that may have
  // named any of them; returns them. Blocks that are distrusted stay so.
  std::vector<BlockId> ForgetDoubtful();
  // Notes that the server refuses new work or cannot be reached: it gets no
  // new work for a while.
  void NoteRefusal(Instant aNow);
  void NoteReachable();
  // Speeds are not learnt while the server is slow for a moment.
  void SetSound(bool aSound);
  // Learns from an answer: tokens computed until the first token came, and
  // the length of one decoding step.
  void LearnPrefill(double aTokens, Duration aTime);
  void LearnDecode(Duration aTimePerToken);

private:
  const VmEntry mVm;
  // The last one takes work; earlier ones were drained.
  std::vector<std::shared_ptr<HomeQueue>> mQueues;
  bool mIsDrained = false;
  mutable std::mutex mMutex;
  std::optional<EngineState> mState;
  Instant mReportedAt{};
  Instant mNoWorkBefore{};
  ServerSpeed mSpeed;
  bool mIsSound = true;
  std::unordered_set<BlockId> mResident;
  std::unordered_set<BlockId> mDistrusted;
  double mPrefillTokens = 0;
};

using HomedServerPtr = std::shared_ptr<HomedServer>;

} // namespace bilberrytrail
