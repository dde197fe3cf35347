#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/time.h>
#include <bilberrytrail/runtime/http.h>

#include <functional>
#include <string>

namespace bilberrytrail {

// Makes one call on a loop of its own; a failed exchange has status 0.
[[nodiscard]] HttpResponse
CallOnce(const Endpoint& aEndpoint,
         const HttpRequest& aRequest,
         Duration aTimeout);

// What a streamed completion gave.
struct StreamedAnswer
{
  unsigned mStatus = 0;
  std::string mText;
  std::string mBody;
  // The stream ended with [DONE].
  bool mDone = false;
  Duration mFirstToken{};
  Duration mTotal{};
};

// Takes the text of an answer so far.
using TextListener = std::function<void(const std::string&)>;

// Makes one streamed completion; the listener is called after each piece.
[[nodiscard]] StreamedAnswer
StreamCompletion(const Endpoint& aEndpoint,
                 const std::string& aToken,
                 const std::string& aBody,
                 Duration aTimeout = 30s,
                 const TextListener& aOnText = {});

} // namespace bilberrytrail
