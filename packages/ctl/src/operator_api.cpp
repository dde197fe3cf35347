#include <bilberrytrail/ctl/operator_api.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace bilberrytrail {

namespace {

using Json = nlohmann::json;

Json
ParseObject(const std::string& aBody)
{
  auto json = Json::parse(aBody, nullptr, false);
  return json.is_object() ? json : Json::object();
}

std::string
TextOf(const Json& aJson, const char* aKey)
{
  const auto it = aJson.find(aKey);
  return it != aJson.end() && it->is_string() ? it->get<std::string>() : "";
}

std::string
DescribeConflict(const Json& aJson)
{
  const auto it = aJson.find("conflict_with");
  const auto number = it != aJson.end() ? it->dump() : std::string("another");
  return "conflict: release " + number + " (id " + TextOf(aJson, "id") +
         ") was applied first; nothing changed";
}

std::string
DescribeErrors(const Json& aJson)
{
  std::string text;
  const auto errors = aJson.find("errors");
  if (errors == aJson.end() || !errors->is_array()) {
    return "the daemon reported errors without listing them";
  }
  for (const auto& error : *errors) {
    const auto line = error.is_object() ? error.find("line") : error.end();
    text += text.empty() ? "" : "\n";
    text += line != error.end() ? "line " + line->dump() + ": " : "";
    text += error.is_object() ? TextOf(error, "message") : error.dump();
  }
  return text;
}

// Returns whether a request answered with 503 was run. Without a disposition
// it may have been.
ReplyKind
KindOfUnavailable(const Json& aJson)
{
  return TextOf(aJson, "disposition") == "not_run" ? ReplyKind::NotRun
                                                   : ReplyKind::Unknown;
}

ReplyKind
KindOf(unsigned aStatus, const Json& aJson)
{
  switch (aStatus) {
    case 200:
      return ReplyKind::Done;
    case 401:
      return ReplyKind::Unauthorized;
    case 404:
      return ReplyKind::NotFound;
    case 409:
      return ReplyKind::Conflict;
    case 422:
      return ReplyKind::Invalid;
    default:
      break;
  }
  if (aStatus >= 400 && aStatus < 500) {
    return ReplyKind::Refused;
  }
  return aStatus == 503 ? KindOfUnavailable(aJson) : ReplyKind::Unknown;
}

OperatorReply
MakeReply(const HttpResponse& aResponse)
{
  const auto json = ParseObject(aResponse.mBody);
  OperatorReply reply{ KindOf(aResponse.mStatus, json), aResponse.mBody, "" };
  switch (reply.mKind) {
    case ReplyKind::Done:
      break;
    case ReplyKind::Conflict:
      reply.mMessage = DescribeConflict(json);
      break;
    case ReplyKind::Invalid:
      reply.mMessage = DescribeErrors(json);
      break;
    default:
      reply.mMessage = "the daemon answered " +
                       std::to_string(aResponse.mStatus) + ": " +
                       TextOf(json, "message");
      break;
  }
  return reply;
}

// Returns true for replies that state whether the note with the request's id
// was applied, even if the reply to an earlier attempt was lost.
bool
IsConclusive(ReplyKind aKind)
{
  return aKind == ReplyKind::Done || aKind == ReplyKind::Conflict ||
         aKind == ReplyKind::Invalid;
}

bool
IsUnreserved(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '.' ||
         aChar == '_' || aChar == '~';
}

} // namespace

std::string
EncodeQuery(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    if (IsUnreserved(c)) {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text += '%';
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

OperatorApi::OperatorApi(OperatorTransport& aTransport, std::string aToken)
  : mTransport(aTransport)
  , mToken(std::move(aToken))
{
}

OperatorReply
OperatorApi::Send(HttpRequest aRequest, bool aChangesState)
{
  aRequest.mHeaders.push_back({ "Authorization", "Bearer " + mToken });
  const auto response = mTransport.Send(aRequest);
  if (response) {
    return MakeReply(response.value());
  }
  const auto& error = response.error();
  const bool isUnknown = aChangesState && error.mSent == SendState::MaybeSent;
  return { isUnknown ? ReplyKind::Unknown : ReplyKind::NotRun,
           "",
           "no answer from the daemon: " + error.mMessage };
}

OperatorReply
OperatorApi::Get(std::string_view aPath, const HttpHeaders& aQuery)
{
  HttpRequest request;
  request.mTarget = aPath;
  char separator = '?';
  for (const auto& [name, value] : aQuery) {
    request.mTarget += separator + name + "=" + EncodeQuery(value);
    separator = '&';
  }
  return Send(std::move(request), false);
}

OperatorReply
OperatorApi::Post(std::string_view aPath, std::string aBody)
{
  HttpRequest request;
  request.mMethod = "POST";
  request.mTarget = aPath;
  request.mHeaders.push_back({ "Content-Type", "application/json" });
  request.mBody = std::move(aBody);
  return Send(std::move(request), true);
}

OperatorReply
OperatorApi::Apply(const ApplyRequest& aRequest)
{
  const Json body = { { "product", aRequest.mProduct.Text() },
                      { "against", aRequest.mAgainst.Value() },
                      { "id", aRequest.mId },
                      { "note", aRequest.mNote } };
  const auto text = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  bool wasUnknown = false;
  OperatorReply reply;
  for (int n = 0; n < kMaxApplyAttempts; ++n) {
    reply = Post("/operator/release/apply", text);
    if (IsConclusive(reply.mKind) ||
        (!wasUnknown && reply.mKind != ReplyKind::Unknown)) {
      return reply;
    }
    wasUnknown = true;
  }
  // An earlier attempt may have taken effect, whatever the last reply says.
  reply.mKind = ReplyKind::Unknown;
  reply.mMessage += "; it is unknown whether the note was applied: apply the "
                    "same file again to find out";
  return reply;
}

} // namespace bilberrytrail
