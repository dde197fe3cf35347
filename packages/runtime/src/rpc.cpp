#include "rpc_codec.h"

#include <bilberrytrail/base/json_bounds.h>
#include <bilberrytrail/runtime/rpc.h>

namespace bilberrytrail {

namespace {

// An ErrorCode n is sent as the JSON-RPC error code kFirstErrorCode - n.
constexpr int kFirstErrorCode = -31000;

int
ToRpcCode(ErrorCode aCode)
{
  return kFirstErrorCode - static_cast<int>(aCode);
}

ErrorCode
FromRpcCode(int aCode)
{
  const int n = kFirstErrorCode - aCode;
  if (n < 0 || n >= static_cast<int>(EnumCount<ErrorCode>())) {
    return ErrorCode::Unavailable;
  }
  return static_cast<ErrorCode>(n);
}

rpc_codec::Reply
FailedReply(const Error& aError)
{
  rpc_codec::Reply reply;
  reply.mErrorCode = ToRpcCode(aError.mCode);
  reply.mText = aError.mMessage;
  return reply;
}

Result<Json>
FromText(const std::string& aText)
{
  Json value = Json::parse(aText, nullptr, false);
  if (value.is_discarded()) {
    return Fail(ErrorCode::Corrupt, "not JSON");
  }
  return value;
}

} // namespace

Result<Json>
CallRpc(const std::string& aMethod,
        const Json& aParams,
        const RpcTransport& aTransport)
{
  std::optional<Error> failure;
  const auto reply =
    rpc_codec::Call(aMethod, aParams.dump(), [&](const std::string& aRequest) {
      auto response = aTransport(aRequest);
      if (!response) {
        failure = std::move(response).error();
        return std::string();
      }
      if (!FitsJsonBounds(response.value())) {
        failure = Fail(ErrorCode::TooLarge, "response has too many values");
        return std::string();
      }
      return std::move(response).value();
    });
  if (failure) {
    return *std::move(failure);
  }
  if (!reply.mSucceeded) {
    return Fail(FromRpcCode(reply.mErrorCode), reply.mText);
  }
  return FromText(reply.mText);
}

std::string
RpcMethods::Serve(const std::string& aRequest) const
{
  if (!FitsJsonBounds(aRequest)) {
    return {};
  }
  return rpc_codec::Serve(
    aRequest, [this](const std::string& aName, const std::string& aParams) {
      const auto it = mMethods.find(aName);
      if (it == mMethods.end()) {
        return FailedReply(Fail(ErrorCode::NotFound, "no method " + aName));
      }
      const auto params = FromText(aParams);
      if (!params) {
        return FailedReply(params.error());
      }
      const auto result = it->second(params.value());
      if (!result) {
        return FailedReply(result.error());
      }
      rpc_codec::Reply reply;
      reply.mSucceeded = true;
      reply.mText = result.value().dump();
      return reply;
    });
}

void
RpcMethods::Add(const std::string& aName, Method aMethod)
{
  mMethods[aName] = std::move(aMethod);
}

} // namespace bilberrytrail
