#pragma once

#include <bilberrytrail/backend/block_ref.h>
#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Priority that the engine honours when it forms batches.
enum class EnginePriority : unsigned char
{
  High,
  Normal,
  Low
};

template<>
struct EnumNames<EnginePriority>
{
  static constexpr std::array<std::string_view, 3> kNames{ "high",
                                                           "normal",
                                                           "low" };
};

// One attempt to generate. mBlocks names the prompt's blocks in order, each
// of mBlockBytes bytes of prompt text; the engine keeps KV cache under them.
struct GenerateRequest
{
  AttemptId mAttempt;
  ModelId mModel;
  VersionId mVersion;
  std::string mAdapter;
  std::string mPrompt;
  std::vector<BlockId> mBlocks;
  std::uint32_t mBlockBytes = 0;
  std::uint32_t mMaxTokens = 0;
  // Text generated so far by an earlier attempt; generation goes on behind it
  // and positions start at mStartPosition.
  std::string mResumeText;
  std::uint32_t mStartPosition = 0;
  EnginePriority mPriority = EnginePriority::Normal;
};

// Head of an engine's answer: what serves the attempt.
struct GenerateHead
{
  VersionId mVersion;
  std::uint32_t mPromptTokens = 0;
  // Prompt tokens whose KV cache was reused.
  std::uint32_t mCachedTokens = 0;
};

// One piece of an answer. The last piece has mEnd set and carries no text.
struct GenerateChunk
{
  AttemptId mAttempt;
  std::uint32_t mPosition = 0;
  std::string mText;
  bool mEnd = false;
};

// A running attempt. Destroying it before the end cuts the connection.
class GenerateStream
{
public:
  virtual ~GenerateStream() = default;

  [[nodiscard]] virtual const GenerateHead& Head() const noexcept = 0;

  // Waits for the next piece. Fails with Timeout, Corrupt or Unavailable.
  [[nodiscard]] virtual Result<GenerateChunk> Next(Duration aTimeout) = 0;
};

// What an order asks a server to do.
enum class OrderKind : unsigned char
{
  LoadVersion,
  UnloadVersion,
  LoadAdapter,
  UnloadAdapter,
  SetRole
};

template<>
struct EnumNames<OrderKind>
{
  static constexpr std::array<std::string_view, 5> kNames{ "load_version",
                                                           "unload_version",
                                                           "load_adapter",
                                                           "unload_adapter",
                                                           "set_role" };
};

// An order to a backend server, with the fencing number of the lease under
// which it is issued.
struct EngineOrder
{
  OrderKind mKind = OrderKind::LoadVersion;
  FencingNumber mFencing;
  ModelId mModel;
  VersionId mVersion;
  std::string mArgument;
};

// A weight version of a model that a server has.
struct LoadedVersion
{
  ModelId mModel;
  VersionId mVersion;
  bool mReady = false;

  auto operator<=>(const LoadedVersion&) const = default;
};

// What a server says of itself, late.
struct EngineState
{
  std::vector<LoadedVersion> mVersions;
  std::vector<std::string> mAdapters;
  std::string mRole;
  FencingNumber mHighestFencing;
  std::uint32_t mRunning = 0;
  std::uint32_t mSlots = 0;
  // Tokens generated per second over the last report period.
  double mTokensPerSecond = 0;
  bool mLeaving = false;
  // Changes at each start of the engine.
  std::uint64_t mIncarnation = 0;
};

// Kinds of messages on an engine's event stream.
enum class EngineEventKind : unsigned char
{
  Load,
  BlockCached,
  BlockEvicted
};

template<>
struct EnumNames<EngineEventKind>
{
  static constexpr std::array<std::string_view, 3> kNames{ "load",
                                                           "block_cached",
                                                           "block_evicted" };
};

// One message of the event stream. Sequence numbers count up by one; a jump
// is a gap, and a smaller number means that the engine restarted.
struct EngineEvent
{
  EngineEventKind mKind = EngineEventKind::Load;
  std::uint64_t mSequence = 0;
  std::optional<EngineState> mState;
  std::vector<BlockId> mBlocks;
};

// A held-open subscription to one engine's events.
class EngineEventStream
{
public:
  virtual ~EngineEventStream() = default;

  [[nodiscard]] virtual Result<EngineEvent> Next(Duration aTimeout) = 0;
};

// Asks an engine to copy sealed blocks from a store into its cache, or
// cached blocks into reserved space of a store.
struct TransferRequest
{
  Endpoint mStore;
  VersionId mVersion;
  std::vector<BlockRef> mBlocks;
};

// A model engine on a backend server.
class Engine
{
public:
  virtual ~Engine() = default;

  // Starts an attempt; returns once the engine's answer has begun. NotRun when
  // the engine refused before running.
  [[nodiscard]] virtual CallResult<std::unique_ptr<GenerateStream>> Generate(
    const GenerateRequest& aRequest,
    Duration aTimeout) = 0;
  // Stops an attempt. Done also when the engine does not know the attempt.
  [[nodiscard]] virtual CallResult<void> Cancel(const AttemptId& aAttempt,
                                                Duration aTimeout) = 0;
  // Gives an order. NotRun with Refused when the fencing number is old.
  [[nodiscard]] virtual CallResult<void> SendOrder(const EngineOrder& aOrder,
                                                   Duration aTimeout) = 0;
  // Reads the present state.
  [[nodiscard]] virtual CallResult<EngineState> ReadState(
    Duration aTimeout) = 0;
  // Opens the event stream behind the sequence number. Asks for load reports on
  // change and at least once in aReportWithin, which the engine may ignore;
  // with zero its own period is as good.
  [[nodiscard]] virtual CallResult<std::unique_ptr<EngineEventStream>>
  Subscribe(std::uint64_t aAfterSequence,
            Duration aReportWithin,
            Duration aTimeout) = 0;
  // Imports blocks; returns those that the engine read from the store, with
  // the generation and checksum that it saw after the read.
  [[nodiscard]] virtual CallResult<std::vector<BlockRef>> ImportBlocks(
    const TransferRequest& aRequest,
    Duration aTimeout) = 0;
  // Exports blocks into reserved space; returns those written, with length
  // and checksum.
  [[nodiscard]] virtual CallResult<std::vector<BlockRef>> ExportBlocks(
    const TransferRequest& aRequest,
    Duration aTimeout) = 0;
};

} // namespace bilberrytrail
