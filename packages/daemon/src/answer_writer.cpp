#include "answer_writer.h"

#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

namespace {

std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

AnswerWriter::AnswerWriter(RequestContext& aContext, std::string aId)
  : mContext(aContext)
  , mId(std::move(aId))
  , mEvent(mId, aContext.mCompletion->mModel.Text())
{
}

bool
AnswerWriter::HasBegun() const noexcept
{
  return mBegun;
}

Result<void>
AnswerWriter::Begin()
{
  mBegun = true;
  if (!mContext.mFirstTokenAt) {
    mContext.mFirstTokenAt = MonotonicNow();
  }
  return mContext.mResponder.BeginStreamLater(
    200,
    { { "Content-Type", "text/event-stream" },
      { "Cache-Control", "no-store" } });
}

Result<void>
AnswerWriter::Append(std::string_view aText)
{
  if (!mContext.mFirstTokenAt) {
    mContext.mFirstTokenAt = MonotonicNow();
  }
  if (!mContext.mCompletion->mStream) {
    return Ok();
  }
  if (!mBegun) {
    if (auto ok = Begin(); !ok) {
      return ok;
    }
  }
  return mContext.mResponder.WriteChunk(mEvent.Render(aText, {}));
}

Result<void>
AnswerWriter::Finish(std::string_view aWholeText, std::uint32_t aTokens)
{
  const std::string_view reason =
    aTokens >= mContext.mCompletion->mMaxTokens ? "length" : "stop";
  if (mContext.mCompletion->mStream) {
    if (!mBegun) {
      if (auto ok = Begin(); !ok) {
        return ok;
      }
    }
    return mContext.mResponder.EndStreamWith(
      mEvent.Render({}, {}) + mEvent.Render({}, reason) + "data: [DONE]\n\n");
  }
  const Json json = { { "id", mId },
                      { "object", "text_completion" },
                      { "model", mContext.mCompletion->mModel.Text() },
                      { "choices",
                        { { { "index", 0 },
                            { "text", aWholeText },
                            { "finish_reason", reason } } } },
                      { "usage", { { "completion_tokens", aTokens } } } };
  return mContext.mResponder.Send(
    { 200, { { "Content-Type", "application/json" } }, Dump(json) });
}

void
AnswerWriter::Break(const Refusal& aRefusal)
{
  mContext.mIncomplete = true;
  const std::string event =
    "event: error\ndata: " + RenderProblem(aRefusal) + "\n\n";
  (void)mContext.mResponder.EndStreamWith(event);
}

void
SendRefusal(HttpResponder& aResponder, const Refusal& aRefusal)
{
  HttpResponse response;
  response.mStatus = aRefusal.HttpStatus();
  response.mHeaders.push_back({ "Content-Type", "application/problem+json" });
  const auto retryAfter = RenderRetryAfter(aRefusal);
  if (!retryAfter.empty()) {
    response.mHeaders.push_back({ "Retry-After", retryAfter });
  }
  response.mBody = RenderProblem(aRefusal);
  (void)aResponder.Send(std::move(response));
}

} // namespace bilberrytrail
