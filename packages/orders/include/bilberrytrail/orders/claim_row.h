#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Longest idempotency key that is accepted, in bytes.
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
// Longest answer body that is recorded for a resend, in bytes.
constexpr std::size_t kMaxRecordedBodyBytes = 65536;

// Recorded state of a non-idempotent call.
enum class ClaimState : unsigned char
{
  // An attempt claimed the call; whether it ran is not recorded yet.
  Claimed,
  // The call ran and its answer is recorded.
  Answered,
  // The call did not run and never will run under this attempt.
  NotRun
};

template<>
struct EnumNames<ClaimState>
{
  static constexpr std::array<std::string_view, 3> kNames{ "claimed",
                                                           "answered",
                                                           "not_run" };
};

// The answer to a non-idempotent call as it is recorded for a resend.
struct RecordedAnswer
{
  unsigned mStatus = 200;
  std::string mContentType;
  std::string mBody;
  // The body was longer than kMaxRecordedBodyBytes and was not recorded.
  bool mBodyOmitted = false;

  bool operator==(const RecordedAnswer&) const = default;
};

// The value of a claim row.
struct ClaimRow
{
  ClaimState mState = ClaimState::Claimed;
  AttemptId mAttempt;
  // Hash of method, path and body; a resend must have the same.
  std::string mCallHash;
  // Wall-clock time of the write in milliseconds since 1970; used for retention
  // only.
  std::int64_t mWrittenAtMs = 0;
  RecordedAnswer mAnswer;

  bool operator==(const ClaimRow&) const = default;
};

// Checks the Idempotency-Key of a non-idempotent call. Fails with
// InvalidInput when it is absent or too long.
[[nodiscard]] Result<void>
CheckIdempotencyKey(std::string_view aKey);

// Returns the key of the claim row, claim/<product>/<account>/<key>. Each part
// is percent-encoded, so that different parts never give the same key.
[[nodiscard]] std::string
ClaimRowKey(const ProductId& aProduct,
            const AccountId& aAccount,
            const IdempotencyKey& aKey);

// Returns the hash that distinguishes a resend from another call under the same
// idempotency key.
[[nodiscard]] std::string
HashCall(std::string_view aMethod,
         std::string_view aPath,
         std::string_view aBody);

// Returns the row as JSON.
[[nodiscard]] std::string
EncodeClaimRow(const ClaimRow& aRow);

// Reads a row from JSON. Fails with Corrupt when a field is missing or of
// another type.
[[nodiscard]] Result<ClaimRow>
DecodeClaimRow(std::string_view aText);

} // namespace bilberrytrail
