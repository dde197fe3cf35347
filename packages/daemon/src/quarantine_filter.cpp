#include "quarantine_filter.h"

namespace bilberrytrail {

namespace {

class QuarantineFilter final : public RequestFilter
{
public:
  explicit QuarantineFilter(const QuarantineService& aQuarantine)
    : mQuarantine(aQuarantine)
  {
  }

  std::optional<Refusal> Apply(RequestContext& aContext) override
  {
    if (!aContext.mCompletion) {
      return std::nullopt;
    }
    const CompletionRequest& request = *aContext.mCompletion;
    aContext.mFingerprint = FingerprintOfCompletion(
      { aContext.mAccount.mProduct, aContext.mAccount.mAccount },
      request.mModel.Text(),
      request.mAdapter,
      request.mPrompt);
    if (mQuarantine.Verdict(aContext.mFingerprint) !=
        QuarantineVerdict::Convicted) {
      return std::nullopt;
    }
    return aContext.Refuse(RefusalReason::Quarantined,
                           std::string(kConvictedText),
                           mQuarantine.Remaining(aContext.mFingerprint));
  }

private:
  const QuarantineService& mQuarantine;
};

} // namespace

std::unique_ptr<RequestFilter>
MakeQuarantineFilter(const QuarantineService& aQuarantine)
{
  return std::make_unique<QuarantineFilter>(aQuarantine);
}

} // namespace bilberrytrail
