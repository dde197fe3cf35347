#pragma once

#include "estimate_message.h"

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/backend/plain_service.h>
#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/cache/prompt_directory.h>
#include <bilberrytrail/traffic/refusal.h>
#include <bilberrytrail/traffic/work_class.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Which kind of backend server a request runs on.
enum class HomeTarget : unsigned char
{
  Engine,
  Service
};

template<>
struct EnumNames<HomeTarget>
{
  static constexpr std::array<std::string_view, 2> kNames{ "engine",
                                                           "service" };
};

// A request as the entry daemon forwards it to the home of the chosen server.
struct HomeRequest
{
  HomeTarget mTarget = HomeTarget::Engine;
  ServerId mServer;
  ProductId mProduct;
  AccountId mAccount;
  WorkClass mClass = WorkClass::Short;
  // Identifies the request for the quarantine; equal for a resend.
  std::string mFingerprint;
  // Time until the request must have finished.
  Duration mTimeLeft{};
  double mCostTokens = 1;
  // The entry chose the server without asking its home: the home sends the
  // request back unless the server takes it at once.
  bool mIsUnasked = false;
  // Engine: the attempt, with the prompt, its blocks and the resume point.
  GenerateRequest mGenerate;
  // Engine: copies to import before running, in order of blocks.
  std::vector<StoreCopy> mImports;
  // Service: the call, and the key of its claim row when it must not be
  // repeated, else empty.
  ServiceCall mCall;
  std::string mClaimRowKey;
};

// Kinds of frames that a home sends back.
enum class FrameKind : unsigned char
{
  // The engine's answer has begun.
  Head,
  Chunk,
  // The engine's answer has ended whole.
  End,
  // The answer of a plain service.
  Answer,
  // The request was not run and will not be.
  NotRun,
  // The request ran or may have run and gives no (further) answer.
  Broken
};

template<>
struct EnumNames<FrameKind>
{
  static constexpr std::array<std::string_view, 6> kNames{
    "head", "chunk", "end", "answer", "not_run", "broken"
  };
};

// Returns whether a frame of the kind is the last of its answer.
[[nodiscard]] constexpr bool
IsLast(FrameKind aKind) noexcept
{
  return aKind != FrameKind::Head && aKind != FrameKind::Chunk;
}

// One frame of the home's answer, a line of JSON on the wire.
struct HomeFrame
{
  FrameKind mKind = FrameKind::Head;
  AttemptId mAttempt{};
  // Head.
  GenerateHead mHead{};
  // Chunk and End: position; Chunk: text.
  std::uint32_t mPosition = 0;
  std::string mText{};
  // Answer.
  ServiceResponse mAnswer{};
  // NotRun and Broken.
  RefusalReason mReason = RefusalReason::ServerFailed;
  Duration mRetryAfter{};
  // NotRun: the server would not take the request at once, and the entry had
  // not asked.
  bool mIsSentBack = false;
  // Last frames: what the home says of the server now.
  std::optional<ServerEstimate> mEstimate{};
};

// Returns the frame that ends an attempt which was not run, or which ran or
// may have run.
[[nodiscard]] HomeFrame
MakeNotRunFrame(const AttemptId& aAttempt,
                RefusalReason aReason,
                std::string aText,
                Duration aRetryAfter = {});
[[nodiscard]] HomeFrame
MakeBrokenFrame(const AttemptId& aAttempt,
                RefusalReason aReason,
                std::string aText);

// Returns the frame that sends a request back to an entry that did not ask.
[[nodiscard]] HomeFrame
MakeSentBackFrame(const AttemptId& aAttempt);
// Returns the attempt that the request is.
[[nodiscard]] const AttemptId&
AttemptOf(const HomeRequest& aRequest) noexcept;

// Encodes and decodes both; decoding fails with Corrupt and never throws.
[[nodiscard]] std::string
EncodeHomeRequest(const HomeRequest& aRequest);
[[nodiscard]] Result<HomeRequest>
DecodeHomeRequest(std::string_view aText);
[[nodiscard]] std::string
EncodeHomeFrame(const HomeFrame& aFrame);
[[nodiscard]] Result<HomeFrame>
DecodeHomeFrame(std::string_view aText);

} // namespace bilberrytrail
