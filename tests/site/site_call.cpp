#include "site_call.h"

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/loop.h>

namespace bilberrytrail {

HttpResponse
CallOnce(const Endpoint& aEndpoint,
         const HttpRequest& aRequest,
         Duration aTimeout)
{
  Loop loop;
  HttpResponse response;
  loop.Spawn([&] {
    HttpClient client(loop);
    auto result = client.Call(aEndpoint, aRequest, aTimeout);
    if (result) {
      response = std::move(result).value();
    } else {
      response.mStatus = 0;
      response.mBody = result.error().mMessage;
    }
    loop.Stop();
  });
  loop.Run();
  return response;
}

StreamedAnswer
StreamCompletion(const Endpoint& aEndpoint,
                 const std::string& aToken,
                 const std::string& aBody,
                 Duration aTimeout,
                 const TextListener& aOnText)
{
  constexpr std::string_view kData = "data: ";
  Loop loop;
  StreamedAnswer answer;
  const auto start = MonotonicNow();
  loop.Spawn([&] {
    HttpClient client(loop);
    auto opened = client.Open(aEndpoint,
                              { "POST",
                                "/v1/completions",
                                { { "Authorization", "Bearer " + aToken } },
                                aBody },
                              aTimeout);
    if (!opened) {
      answer.mBody = opened.error().mMessage;
      loop.Stop();
      return;
    }
    auto stream = std::move(opened).value();
    answer.mStatus = stream.Status();
    while (true) {
      auto line = stream.ReadLine(MonotonicNow() + aTimeout);
      if (!line || !line.value().has_value()) {
        break;
      }
      answer.mBody += *line.value() + "\n";
      if (!line.value()->starts_with(kData)) {
        continue;
      }
      const std::string data = line.value()->substr(kData.size());
      if (data == "[DONE]") {
        answer.mDone = true;
        continue;
      }
      const auto json = ParseJson(data);
      if (json && json.value().contains("choices")) {
        const std::string text = json.value()["choices"][0].value("text", "");
        if (answer.mText.empty() && !text.empty()) {
          answer.mFirstToken = MonotonicNow() - start;
        }
        answer.mText += text;
        if (aOnText) {
          aOnText(answer.mText);
        }
      }
    }
    loop.Stop();
  });
  loop.Run();
  answer.mTotal = MonotonicNow() - start;
  return answer;
}

} // namespace bilberrytrail
