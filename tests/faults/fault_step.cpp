#include "fault_step.h"

namespace bilberrytrail {

namespace {

constexpr std::string_view kPossible;

bool
IsAnswerStep(Step aStep)
{
  return aStep == Step::Head || aStep == Step::FirstChunk ||
         aStep == Step::MiddleChunk || aStep == Step::End;
}

bool
IsChunkStep(Step aStep)
{
  return aStep == Step::FirstChunk || aStep == Step::MiddleChunk ||
         aStep == Step::End;
}

bool
IsTableStep(Step aStep)
{
  return aStep == Step::ClaimRead || aStep == Step::ClaimWritten ||
         aStep == Step::OutcomeWritten;
}

bool
IsImportStep(Step aStep)
{
  return aStep == Step::Find || aStep == Step::ImportBegin ||
         aStep == Step::ImportEnd;
}

bool
IsLinkStep(Step aStep)
{
  return IsAnswerStep(aStep) || aStep == Step::AnswerFrame;
}

std::string_view
WhyNoStep(CallPath aPath, Step aStep)
{
  if (IsImportStep(aStep) && aPath != CallPath::KeptPrompt) {
    return "nothing is kept for the request";
  }
  if (IsCompletion(aPath)) {
    const bool isPlain = IsTableStep(aStep) || aStep == Step::ServiceAnswered ||
                         aStep == Step::AnswerFrame;
    return isPlain ? "completions have no claim and no plain answer"
                   : kPossible;
  }
  if (IsAnswerStep(aStep)) {
    return "plain services do not stream";
  }
  if (aPath != CallPath::ClaimedCall && IsTableStep(aStep)) {
    return "repeatable calls are not claimed";
  }
  return kPossible;
}

std::string_view
Unless(bool aPossible, std::string_view aReason)
{
  return aPossible ? kPossible : aReason;
}

std::string_view
WhyNoFault(const Cell& aCell)
{
  const Step step = aCell.mStep;
  switch (aCell.mFault) {
    case Fault::KillHome:
    case Fault::CallerGone:
    case Fault::DrainHome:
    case Fault::DrainEntry:
    case Fault::ServersLeave:
    case Fault::Resend:
      return kPossible;
    case Fault::ReleaseSwap:
      return Unless(IsCompletion(aCell.mPath),
                    "plain services have no weight version");
    case Fault::LinkCutBefore:
    case Fault::LinkCutAfter:
      return Unless(IsLinkStep(step) || step == Step::Queued,
                    "nothing crosses the link at this step");
    case Fault::LinkDuplicate:
    case Fault::LinkForeign:
    case Fault::LinkCorrupt:
    case Fault::LinkLate:
      return Unless(IsLinkStep(step), "no frame crosses the link here");
    case Fault::LinkReorder:
      return Unless(step == Step::Head || step == Step::FirstChunk ||
                      step == Step::MiddleChunk,
                    "no frame follows that could overtake");
    case Fault::RefuseBeforeRunning:
      return Unless(step == Step::Granted,
                    "only a request that does not run yet can be refused");
    case Fault::FailAfterRunning:
    case Fault::LostReply:
      return Unless(step == Step::Running || step == Step::ServiceAnswered,
                    "the call has not begun or its answer has");
    case Fault::ServerCut:
      return Unless(IsChunkStep(step), "no open answer to cut");
    case Fault::DuplicateChunk:
    case Fault::ForeignChunk:
      return Unless(IsChunkStep(step), "no chunk at this step");
    case Fault::Gap:
      return Unless(step == Step::FirstChunk || step == Step::MiddleChunk,
                    "no chunk that could be missing");
    case Fault::WrongVersion:
      return Unless(step == Step::Head, "the version is in the head");
    case Fault::Stall:
      return Unless(IsChunkStep(step) || step == Step::Running,
                    "the backend server sends nothing at this step");
    case Fault::StoreDies:
    case Fault::StoreEmpty:
    case Fault::StoreReuse:
      return Unless(IsImportStep(step), "the store is not asked here");
    case Fault::StaleDirectory:
      return Unless(step == Step::Find, "the directory is not asked here");
    case Fault::StoreFull:
      return "a request reserves nothing in a store";
    case Fault::StoreCorrupt:
      return Unless(step == Step::ImportEnd, "no bytes are on their way");
    case Fault::StoreCut:
    case Fault::StoreSlow:
    case Fault::StoreLostReply:
      return Unless(step == Step::ImportBegin || step == Step::ImportEnd,
                    "the store is not called here");
    case Fault::TableDown:
    case Fault::TableLostRequest:
    case Fault::TableLostReply:
      return Unless(IsTableStep(step), "the table is not asked here");
    case Fault::HedgeLate:
    case Fault::BothAnswer:
      if (!IsHedged(aCell.mPath)) {
        return "the request is not hedged";
      }
      return Unless(step == Step::FirstChunk || step == Step::ServiceAnswered,
                    "the answer does not begin here");
  }
  return "unknown fault";
}

} // namespace

std::string_view
WhyImpossible(const Cell& aCell)
{
  const auto reason = WhyNoStep(aCell.mPath, aCell.mStep);
  return reason.empty() ? WhyNoFault(aCell) : reason;
}

} // namespace bilberrytrail
