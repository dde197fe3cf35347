#include "common/json_server.h"

#include <bilberrytrail/platform/http_call.h>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace bilberrytrail::standins {

namespace {

JsonServer::Respond
ReadingJson(JsonServer::RespondToJson aRespond)
{
  return [respond = std::move(aRespond)](const HttpRequest& aRequest) {
    const auto json = ParseJson(aRequest.mBody);
    if (!json) {
      return ErrorResponse(400, json.error().mMessage);
    }
    return respond(json.value());
  };
}

bool
Matches(std::string_view aPattern, std::string_view aPath)
{
  return aPattern.ends_with('/') ? aPath.starts_with(aPattern)
                                 : aPath == aPattern;
}

} // namespace

HttpResponse
JsonResponse(const Json& aBody, unsigned aStatus)
{
  auto body = WriteJson(aBody);
  if (!body) {
    return ErrorResponse(500, body.error().mMessage);
  }
  return HttpResponse{ aStatus,
                       { { "Content-Type", "application/json" } },
                       std::move(body).value() };
}

HttpResponse
ErrorResponse(unsigned aStatus, std::string_view aMessage)
{
  return JsonResponse({ { "error", aMessage } }, aStatus);
}

HttpResponse
NotRunResponse(std::string_view aMessage)
{
  auto response = ErrorResponse(503, aMessage);
  response.mHeaders.push_back({ std::string(kNotRunHeader), "true" });
  return response;
}

std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName)
{
  const auto mark = aTarget.find('?');
  auto rest = mark == std::string_view::npos ? std::string_view()
                                             : aTarget.substr(mark + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const auto pair = rest.substr(0, end);
    const auto equals = pair.find('=');
    if (pair.substr(0, equals) == aName && equals != std::string_view::npos) {
      return UnescapePathSegment(pair.substr(equals + 1));
    }
    rest =
      end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  return std::nullopt;
}

std::string_view
PathOf(std::string_view aTarget)
{
  return aTarget.substr(0, aTarget.find('?'));
}

std::string
UnescapePathSegment(std::string_view aText)
{
  std::string out;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    unsigned byte = 0;
    if (aText[n] == '%' && n + 2 < aText.size()) {
      const auto* digits = aText.data() + n + 1;
      const auto [end, ec] = std::from_chars(digits, digits + 2, byte, 16);
      if (ec == std::errc() && end == digits + 2) {
        out += static_cast<char>(byte);
        n += 2;
        continue;
      }
    }
    out += aText[n];
  }
  return out;
}

JsonServer::JsonServer(Loop& aLoop, FaultTable& aFaults)
  : mLoop(aLoop)
  , mFaults(aFaults)
{
  OnJson("/fault", [this](const Json& aJson) {
    const auto ok = mFaults.Set(aJson);
    return ok ? JsonResponse(Json::object())
              : ErrorResponse(400, ok.error().mMessage);
  });
}

void
JsonServer::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  const auto path = PathOf(aRequest.mTarget);
  // Later routes come first, so that a program can replace a common one.
  for (auto it = mRoutes.rbegin(); it != mRoutes.rend(); ++it) {
    if (it->mMethod == aRequest.mMethod && Matches(it->mPath, path)) {
      it->mStream(aRequest, aResponder);
      return;
    }
  }
  static_cast<void>(aResponder.Send(ErrorResponse(404, "no such path")));
}

void
JsonServer::On(std::string aMethod, std::string aPath, Respond aRespond)
{
  OnStream(std::move(aMethod),
           std::move(aPath),
           [respond = std::move(aRespond)](const HttpRequest& aRequest,
                                           HttpResponder& aResponder) {
             static_cast<void>(aResponder.Send(respond(aRequest)));
           });
}

void
JsonServer::OnJson(std::string aPath, RespondToJson aRespond)
{
  On("POST", std::move(aPath), ReadingJson(std::move(aRespond)));
}

void
JsonServer::On(std::string aMethod,
               std::string aPath,
               std::string aPart,
               Respond aRespond)
{
  OnStream(std::move(aMethod),
           std::move(aPath),
           [this, part = std::move(aPart), respond = std::move(aRespond)](
             const HttpRequest& aRequest, HttpResponder& aResponder) {
             RespondUnderFault(part, respond, aRequest, aResponder);
           });
}

void
JsonServer::OnJson(std::string aPath, std::string aPart, RespondToJson aRespond)
{
  On("POST",
     std::move(aPath),
     std::move(aPart),
     ReadingJson(std::move(aRespond)));
}

void
JsonServer::OnStream(std::string aMethod, std::string aPath, Stream aStream)
{
  mRoutes.push_back(
    Route{ std::move(aMethod), std::move(aPath), std::move(aStream) });
}

void
JsonServer::RespondUnderFault(const std::string& aPart,
                              const Respond& aRespond,
                              const HttpRequest& aRequest,
                              HttpResponder& aResponder)
{
  const auto fault = mFaults.Of(aPart).Take();
  if (fault.mDelay > Duration(0) && !mLoop.Sleep(fault.mDelay)) {
    aResponder.Abort();
    return;
  }
  if (fault.mMode == FaultMode::Down) {
    aResponder.Abort();
    return;
  }
  if (fault.mMode == FaultMode::Refuse) {
    static_cast<void>(aResponder.Send(NotRunResponse("refused by a fault")));
    return;
  }
  if (fault.mMode == FaultMode::Fail) {
    static_cast<void>(aResponder.Send(ErrorResponse(500, "failed by a fault")));
    return;
  }
  mActiveFault = fault.mMode;
  auto response = aRespond(aRequest);
  if (fault.mMode == FaultMode::Die) {
    std::_Exit(1);
  }
  if (fault.mMode == FaultMode::LoseReplies) {
    aResponder.Abort();
    return;
  }
  static_cast<void>(aResponder.Send(std::move(response)));
}

} // namespace bilberrytrail::standins
