#pragma once

#include <bilberrytrail/ctl/operator_api.h>

#include <algorithm>
#include <cstddef>
#include <vector>

namespace bilberrytrail {

// Returns prepared replies in order, repeating the last one, and records the
// requests.
class FakeTransport : public OperatorTransport
{
public:
  using Answer = Result<HttpResponse, HttpError>;

  explicit FakeTransport(std::vector<Answer> aAnswers)
    : mAnswers(std::move(aAnswers))
  {
  }

  [[nodiscard]] Answer Send(const HttpRequest& aRequest) override
  {
    mRequests.push_back(aRequest);
    return mAnswers[std::min(mRequests.size(), mAnswers.size()) - 1];
  }

  std::vector<Answer> mAnswers;
  std::vector<HttpRequest> mRequests;
};

inline FakeTransport::Answer
Answered(unsigned aStatus, std::string aBody)
{
  return HttpResponse{ aStatus, {}, std::move(aBody) };
}

inline FakeTransport::Answer
NoAnswer(SendState aSent)
{
  return HttpError{ aSent, ErrorCode::Unavailable, "connection closed" };
}

} // namespace bilberrytrail
