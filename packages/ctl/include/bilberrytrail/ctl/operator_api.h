#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/runtime/http.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Carries requests to one daemon's operator endpoint.
class OperatorTransport
{
public:
  virtual ~OperatorTransport() = default;

  [[nodiscard]] virtual Result<HttpResponse, HttpError> Send(
    const HttpRequest& aRequest) = 0;
};

// How a request to the operator endpoint ended.
enum class ReplyKind : unsigned char
{
  Done,
  Conflict,
  Invalid,
  NotRun,
  Unknown,
  Unauthorized,
  NotFound,
  // Any other answer; the daemon did nothing.
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

// The end of one request: its kind, the body as it came, and one sentence for
// kinds other than Done.
struct OperatorReply
{
  ReplyKind mKind = ReplyKind::Unknown;
  std::string mBody;
  std::string mMessage;
};

// What an apply sends; see docs/PROTOCOL-OPERATOR.md.
struct ApplyRequest
{
  ProductId mProduct;
  ReleaseNumber mAgainst;
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

  // Reads; a lost reply is NotRun, since reading changes nothing.
  [[nodiscard]] OperatorReply Get(std::string_view aPath,
                                  const HttpHeaders& aQuery);
  // Changes something; a lost reply is Unknown.
  [[nodiscard]] OperatorReply Post(std::string_view aPath, std::string aBody);
  // Applies a release note. While it is not known whether an attempt took
  // effect, asks again with the same id, kMaxApplyAttempts times in all.
  [[nodiscard]] OperatorReply Apply(const ApplyRequest& aRequest);

private:
  [[nodiscard]] OperatorReply Send(HttpRequest aRequest, bool aChanges);

  OperatorTransport& mTransport;
  std::string mToken;
};

inline constexpr int kMaxApplyAttempts = 4;

// Returns the text with all but letters, digits and "-._~" as %XX.
[[nodiscard]] std::string
EncodeQuery(std::string_view aText);

} // namespace bilberrytrail
