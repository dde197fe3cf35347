#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/runtime/http.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Sends requests to the operator endpoint of one daemon.
class OperatorTransport
{
public:
  virtual ~OperatorTransport() = default;

  [[nodiscard]] virtual Result<HttpResponse, HttpError> Send(
    const HttpRequest& aRequest) = 0;
};

// Outcome of a request to the operator endpoint.
enum class ReplyKind : unsigned char
{
  Done,
  Conflict,
  Invalid,
  NotRun,
  Unknown,
  Unauthorized,
  NotFound,
  // Any other 4xx status; the daemon did nothing.
  Refused
};

template<>
struct EnumNames<ReplyKind>
{
  static constexpr std::array<std::string_view, 8> kNames{
    "done",    "conflict",     "invalid",   "not_run",
    "unknown", "unauthorized", "not_found", "refused"
  };
};

// Result of a request: its kind, the unmodified response body, and for kinds
// other than Done an error message.
struct OperatorReply
{
  ReplyKind mKind = ReplyKind::Unknown;
  std::string mBody;
  std::string mMessage;
};

// Parameters of an apply request; see docs/PROTOCOL-OPERATOR.md.
struct ApplyRequest
{
  ProductId mProduct;
  // Release that the note is based on.
  ReleaseNumber mAgainst;
  // Idempotency key; the same in every attempt.
  std::string mId;
  std::string mNote;
};

// Calls the operator endpoint of a daemon. Every request carries the token.
//
//   OperatorApi api(transport, token);
//   auto reply = api.Get("/operator/status", {});
class OperatorApi
{
public:
  OperatorApi(OperatorTransport& aTransport, std::string aToken);

  // Sends a read request. A lost reply is NotRun, since reading changes
  // nothing.
  [[nodiscard]] OperatorReply Get(std::string_view aPath,
                                  const HttpHeaders& aQuery);
  // Sends a request that changes state. A lost reply is Unknown.
  [[nodiscard]] OperatorReply Post(std::string_view aPath, std::string aBody);
  // Applies a release note. As long as it is unknown whether an attempt took
  // effect, retries with the same id, up to kMaxApplyAttempts attempts in all.
  [[nodiscard]] OperatorReply Apply(const ApplyRequest& aRequest);

private:
  [[nodiscard]] OperatorReply Send(HttpRequest aRequest, bool aChangesState);

  OperatorTransport& mTransport;
  std::string mToken;
};

inline constexpr int kMaxApplyAttempts = 4;

// Percent-encodes all bytes except letters, digits and "-._~".
[[nodiscard]] std::string
EncodeQuery(std::string_view aText);

} // namespace bilberrytrail
