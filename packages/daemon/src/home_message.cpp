#include "home_message.h"

#include "completion_event.h"
#include "directory_message.h"

#include <bilberrytrail/backend/engine_json.h>
#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

namespace {

// Reads bytes that are not text and marks the field as bad without them.
std::string
ReadBytes(JsonFields& aFields, std::string_view aField)
{
  auto bytes = FromBase64(aFields.Text(aField));
  if (!bytes) {
    aFields.Reject(aField);
    return {};
  }
  return std::move(bytes).value();
}

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
EncodeCall(const HomeRequest& aRequest)
{
  return { { "attempt", aRequest.mCall.mAttempt.Text() },
           { "method", aRequest.mCall.mMethod },
           { "path", aRequest.mCall.mPath },
           { "content_type", aRequest.mCall.mContentType },
           { "body", ToBase64(aRequest.mCall.mBody) },
           { "claim", aRequest.mClaimRowKey } };
}

void
ReadCall(JsonFields aFields, HomeRequest& aRequest, JsonFields& aOuter)
{
  aRequest.mCall.mAttempt = AttemptId(aFields.Text("attempt"));
  aRequest.mCall.mMethod = aFields.Text("method");
  aRequest.mCall.mPath = aFields.Text("path");
  aRequest.mCall.mContentType = aFields.Text("content_type");
  aRequest.mCall.mBody = ReadBytes(aFields, "body");
  aRequest.mClaimRowKey = aFields.Text("claim");
  if (!aFields.Check()) {
    aOuter.Reject("call");
  }
}

void
ReadEngineParts(JsonFields& aFields, HomeRequest& aRequest)
{
  aRequest.mGenerate =
    ReadObjectField(aFields, "generate", ReadGenerateRequest);
  aRequest.mImports = ReadListField(aFields, "imports", ReadStoreCopy);
}

// Most frames are chunks: they are written without a document.
std::string
EncodeChunk(const HomeFrame& aFrame)
{
  return "{\"attempt\":" + QuoteJson(aFrame.mAttempt.Text()) +
         ",\"kind\":\"chunk\",\"position\":" +
         std::to_string(aFrame.mPosition) +
         ",\"text\":" + QuoteJson(aFrame.mText) + "}";
}

// Reads what a frame carries besides its kind and attempt.
void
ReadFrameParts(JsonFields& aFields, HomeFrame& aFrame)
{
  switch (aFrame.mKind) {
    case FrameKind::Head:
      aFrame.mHead = ReadObjectField(aFields, "head", ReadGenerateHead);
      break;
    case FrameKind::Chunk:
      aFrame.mText = aFields.Text("text");
      [[fallthrough]];
    case FrameKind::End:
      aFrame.mPosition = aFields.Unsigned32("position");
      break;
    case FrameKind::Answer:
      aFrame.mAnswer.mStatus = aFields.Unsigned32("status");
      aFrame.mAnswer.mContentType = aFields.Text("content_type");
      aFrame.mAnswer.mBody = ReadBytes(aFields, "body");
      break;
    case FrameKind::NotRun:
    case FrameKind::Broken:
      aFrame.mReason = ReadEnumField<RefusalReason>(aFields, "reason");
      aFrame.mText = aFields.Text("text");
      aFrame.mRetryAfter = Duration(aFields.Unsigned("retry_after_us"));
      aFrame.mIsSentBack =
        aFields.Has("sent_back") && aFields.Flag("sent_back");
      break;
  }
  if (aFields.Has("estimate")) {
    aFrame.mEstimate = ReadObjectField(aFields, "estimate", ReadServerEstimate);
  }
}

} // namespace

HomeFrame
MakeNotRunFrame(const AttemptId& aAttempt,
                RefusalReason aReason,
                std::string aText,
                Duration aRetryAfter)
{
  return { .mKind = FrameKind::NotRun,
           .mAttempt = aAttempt,
           .mText = std::move(aText),
           .mReason = aReason,
           .mRetryAfter = aRetryAfter };
}

HomeFrame
MakeBrokenFrame(const AttemptId& aAttempt,
                RefusalReason aReason,
                std::string aText)
{
  return { .mKind = FrameKind::Broken,
           .mAttempt = aAttempt,
           .mText = std::move(aText),
           .mReason = aReason };
}

HomeFrame
MakeSentBackFrame(const AttemptId& aAttempt)
{
  auto frame = MakeNotRunFrame(aAttempt,
                               RefusalReason::NoServer,
                               "the server does not take the request at once");
  frame.mIsSentBack = true;
  return frame;
}

const AttemptId&
AttemptOf(const HomeRequest& aRequest) noexcept
{
  return aRequest.mTarget == HomeTarget::Engine ? aRequest.mGenerate.mAttempt
                                                : aRequest.mCall.mAttempt;
}

std::string
EncodeHomeRequest(const HomeRequest& aRequest)
{
  Json json = { { "target", ToName(aRequest.mTarget) },
                { "server", aRequest.mServer.Text() },
                { "product", aRequest.mProduct.Text() },
                { "account", aRequest.mAccount.Text() },
                { "class", ToName(aRequest.mClass) },
                { "fingerprint", aRequest.mFingerprint },
                { "time_left_us", aRequest.mTimeLeft.count() },
                { "cost_tokens", aRequest.mCostTokens } };
  if (aRequest.mIsUnasked) {
    json["unasked"] = true;
  }
  if (aRequest.mTarget == HomeTarget::Engine) {
    json["generate"] = ToJson(aRequest.mGenerate);
    json["imports"] = Json::array();
    for (const auto& copy : aRequest.mImports) {
      json["imports"].push_back(ToJson(copy));
    }
  } else {
    json["call"] = EncodeCall(aRequest);
  }
  return Dump(json);
}

Result<HomeRequest>
DecodeHomeRequest(std::string_view aText)
{
  auto json = ParseJson(aText);
  if (!json) {
    return std::move(json).error();
  }
  JsonFields fields(json.value());
  HomeRequest request;
  request.mTarget = ReadEnumField<HomeTarget>(fields, "target");
  request.mServer = ServerId(fields.Text("server"));
  request.mProduct = ProductId(fields.Text("product"));
  request.mAccount = AccountId(fields.Text("account"));
  request.mClass = ReadEnumField<WorkClass>(fields, "class");
  request.mFingerprint = fields.Text("fingerprint");
  request.mTimeLeft = Duration(fields.Unsigned("time_left_us"));
  request.mCostTokens = fields.Real("cost_tokens");
  request.mIsUnasked = fields.Has("unasked") && fields.Flag("unasked");
  if (request.mTarget == HomeTarget::Service) {
    ReadCall(JsonFields(fields.Object("call")), request, fields);
  } else {
    ReadEngineParts(fields, request);
  }
  return Checked(fields, std::move(request));
}

std::string
EncodeHomeFrame(const HomeFrame& aFrame)
{
  if (aFrame.mKind == FrameKind::Chunk) {
    return EncodeChunk(aFrame);
  }
  Json json = { { "kind", ToName(aFrame.mKind) },
                { "attempt", aFrame.mAttempt.Text() } };
  switch (aFrame.mKind) {
    case FrameKind::Head:
      json["head"] = ToJson(aFrame.mHead);
      break;
    case FrameKind::Chunk:
    case FrameKind::End:
      json["position"] = aFrame.mPosition;
      break;
    case FrameKind::Answer:
      json["status"] = aFrame.mAnswer.mStatus;
      json["content_type"] = aFrame.mAnswer.mContentType;
      json["body"] = ToBase64(aFrame.mAnswer.mBody);
      break;
    case FrameKind::NotRun:
    case FrameKind::Broken:
      json["reason"] = ToName(aFrame.mReason);
      json["text"] = aFrame.mText;
      json["retry_after_us"] = aFrame.mRetryAfter.count();
      break;
  }
  if (aFrame.mIsSentBack) {
    json["sent_back"] = true;
  }
  if (aFrame.mEstimate) {
    json["estimate"] = ToJson(*aFrame.mEstimate);
  }
  return Dump(json);
}

Result<HomeFrame>
DecodeHomeFrame(std::string_view aText)
{
  auto json = ParseJson(aText);
  if (!json) {
    return std::move(json).error();
  }
  JsonFields fields(json.value());
  HomeFrame frame;
  frame.mKind = ReadEnumField<FrameKind>(fields, "kind");
  frame.mAttempt = AttemptId(fields.Text("attempt"));
  ReadFrameParts(fields, frame);
  return Checked(fields, std::move(frame));
}

} // namespace bilberrytrail
