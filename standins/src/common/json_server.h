#pragma once

#include "common/fault.h"

#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail::standins {

// Returns a response with a JSON body.
[[nodiscard]] HttpResponse
JsonResponse(const Json& aBody, unsigned aStatus = 200);

// Returns a response with {"error": message}.
[[nodiscard]] HttpResponse
ErrorResponse(unsigned aStatus, std::string_view aMessage);

// Returns the status 503 with the header Not-Run.
[[nodiscard]] HttpResponse
NotRunResponse(std::string_view aMessage);

// Returns the value of a parameter of the target's query, if it is there.
[[nodiscard]] std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName);

// Returns the path of a target without its query.
[[nodiscard]] std::string_view
PathOf(std::string_view aTarget);

// Undoes the escapes of one segment of a path.
[[nodiscard]] std::string
UnescapePathSegment(std::string_view aText);

// Serves routes by method and path. A path that ends in '/' matches all paths
// that begin with it.
class JsonServer final : public HttpHandler
{
public:
  using Respond = std::function<HttpResponse(const HttpRequest&)>;
  using RespondToJson = std::function<HttpResponse(const Json&)>;
  using Stream = std::function<void(const HttpRequest&, HttpResponder&)>;

  // Both must outlive the server.
  JsonServer(Loop& aLoop, FaultTable& aFaults);

  // Returns the fault of the call that is being answered, for faults that the
  // program carries out itself. Valid until the answer first waits.
  [[nodiscard]] FaultMode ActiveFault() const noexcept { return mActiveFault; }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

  // Adds a route that answers at once.
  void On(std::string aMethod, std::string aPath, Respond aRespond);
  // Adds a POST route with a JSON body; a malformed body is answered by 400.
  void OnJson(std::string aPath, RespondToJson aRespond);
  // Adds routes under the fault switch of a part of the program.
  void On(std::string aMethod,
          std::string aPath,
          std::string aPart,
          Respond aRespond);
  void OnJson(std::string aPath, std::string aPart, RespondToJson aRespond);
  // Adds a route that writes its own answer.
  void OnStream(std::string aMethod, std::string aPath, Stream aStream);

private:
  struct Route
  {
    std::string mMethod;
    std::string mPath;
    Stream mStream;
  };

  void RespondUnderFault(const std::string& aPart,
                         const Respond& aRespond,
                         const HttpRequest& aRequest,
                         HttpResponder& aResponder);

  Loop& mLoop;
  FaultTable& mFaults;
  FaultMode mActiveFault = FaultMode::Up;
  std::vector<Route> mRoutes;
};

} // namespace bilberrytrail::standins
