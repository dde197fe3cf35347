#pragma once

#include <bilberrytrail/runtime/http_server.h>

#include <functional>
#include <utility>

namespace bilberrytrail {

// Passes requests for all paths to one function.
class FunctionHandler final : public HttpHandler
{
public:
  using Function = std::function<HttpResponse(const HttpRequest&)>;

  explicit FunctionHandler(Function aFunction)
    : mFunction(std::move(aFunction))
  {
  }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override
  {
    (void)aResponder.Send(mFunction(aRequest));
  }

private:
  Function mFunction;
};

} // namespace bilberrytrail
