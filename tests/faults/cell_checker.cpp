#include "cell_checker.h"

#include <bilberrytrail/platform/json_fields.h>

#include <algorithm>
#include <cstdlib>

namespace bilberrytrail {

namespace {

// Longest time to a final answer; the requests' deadline is 2 s.
constexpr Duration kFinalAnswerBound = 3s;

enum class Outcome : unsigned char
{
  Whole,
  NotRun,
  Unknown,
  Incomplete,
  // The service's own report that the call failed, relayed.
  Failed,
  Gone,
  Invalid
};

std::string
WholeText(const CallerRecord& aCaller)
{
  std::string text;
  for (const auto& it : AnswerPieces(aCaller.mVersion)) {
    text += it;
  }
  return text;
}

Outcome
OutcomeOfProblem(std::string_view aBody)
{
  const auto json = ParseJson(aBody);
  if (!json || !json.value().is_object()) {
    return Outcome::Invalid;
  }
  const std::string name = json.value().value("disposition", "");
  return name == "not_run"      ? Outcome::NotRun
         : name == "unknown"    ? Outcome::Unknown
         : name == "incomplete" ? Outcome::Incomplete
                                : Outcome::Invalid;
}

Outcome
OutcomeOfWholeBody(CallPath aPath, const CallerRecord& aCaller)
{
  if (aCaller.mStatus == 502 && aCaller.mBody == "failed") {
    return Outcome::Failed;
  }
  if (aCaller.mStatus != 200) {
    return OutcomeOfProblem(aCaller.mBody);
  }
  if (!IsCompletion(aPath)) {
    return aCaller.mBody == "done " + aCaller.mAccount.Text()
             ? Outcome::Whole
             : Outcome::Invalid;
  }
  const auto json = ParseJson(aCaller.mBody);
  return json && WithoutRuns(json.value()["choices"][0].value("text", "")) ==
                   WholeText(aCaller)
           ? Outcome::Whole
           : Outcome::Invalid;
}

// Reads the server-sent events: the text must be a prefix of the answer, and
// the whole of it before the end marker.
Outcome
OutcomeOfStream(const CallerRecord& aCaller)
{
  const std::string whole = WholeText(aCaller);
  std::string text;
  bool isError = false;
  std::string_view rest = aCaller.mStream;
  while (!rest.empty()) {
    const auto end = rest.find('\n');
    const auto line = rest.substr(0, end);
    rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    if (line == "event: error") {
      isError = true;
    } else if (line == "data: [DONE]") {
      return text == whole && aCaller.mStreamEnded ? Outcome::Whole
                                                   : Outcome::Invalid;
    } else if (line.starts_with("data: ") && isError) {
      return whole.starts_with(text) ? OutcomeOfProblem(line.substr(6))
                                     : Outcome::Invalid;
    } else if (line.starts_with("data: ")) {
      const auto json = ParseJson(line.substr(6));
      text +=
        json ? WithoutRuns(json.value()["choices"][0].value("text", "")) : "?";
    }
  }
  return Outcome::Invalid;
}

Outcome
OutcomeOf(CallPath aPath, const CallerRecord& aCaller)
{
  if (aCaller.mGone) {
    return Outcome::Gone;
  }
  if (aCaller.mAborted || aCaller.mFinals != 1) {
    return Outcome::Invalid;
  }
  return aCaller.mStream.empty() ? OutcomeOfWholeBody(aPath, aCaller)
                                 : OutcomeOfStream(aCaller);
}

// With one fault and a second server, idempotent work is answered whole. A
// claimed call is, when the fault hits neither its run nor its claim.
bool
MustBeWhole(CallPath aPath, const std::vector<Cell>& aFaults)
{
  if (aFaults.size() != 1) {
    return aFaults.empty();
  }
  if (aPath != CallPath::ClaimedCall) {
    return true;
  }
  switch (aFaults.front().mFault) {
    case Fault::DrainHome:
    case Fault::DrainEntry:
    case Fault::ServersLeave:
    case Fault::LinkDuplicate:
    case Fault::LinkForeign:
    case Fault::LinkLate:
    case Fault::RefuseBeforeRunning:
      return true;
    default:
      return aFaults.front().mStep == Step::Authenticated &&
             aFaults.front().mFault == Fault::KillHome;
  }
}

class Checker
{
public:
  Checker(CallPath aPath,
          const std::vector<Cell>& aFaults,
          const History& aHistory)
    : mPath(aPath)
    , mFaults(aFaults)
    , mHistory(aHistory)
    , mFound(aHistory.mFaults)
  {
  }

  std::vector<std::string> Check()
  {
    for (const auto& it : mHistory.mCallers) {
      CheckCaller(*it);
    }
    CheckRuns();
    CheckFirst();
    CheckLater();
    for (const auto& [block, accounts] : mHistory.mBlockAccounts) {
      Expect(accounts.size() == 1, "two accounts share a cache block");
    }
    return std::move(mFound);
  }

private:
  void Expect(bool aHolds, std::string aText)
  {
    if (!aHolds) {
      mFound.push_back(std::move(aText));
    }
  }

  void CheckCaller(const CallerRecord& aCaller)
  {
    const Outcome outcome = OutcomeOf(mPath, aCaller);
    Expect(outcome != Outcome::Invalid,
           "neither the whole answer nor an honest refusal: " +
             std::to_string(aCaller.mStatus) + " " + aCaller.mBody +
             aCaller.mStream);
    Expect(aCaller.mBody.find("FOREIGN") == std::string::npos &&
             aCaller.mStream.find("FOREIGN") == std::string::npos,
           "text of another attempt reached the caller");
    CheckPieces(aCaller);
    Expect(outcome != Outcome::NotRun || aCaller.mRuns == 0,
           "not_run, but it ran");
    Expect(aCaller.mTook <= kFinalAnswerBound,
           "the final answer took " + std::to_string(ToMillis(aCaller.mTook)) +
             " ms");
  }

  // Pieces of another run may only follow where that run resumed.
  void CheckPieces(const CallerRecord& aCaller)
  {
    const std::string text = aCaller.mBody + aCaller.mStream;
    int last = 0;
    std::uint32_t position = 0;
    for (auto at = text.find('#'); at != std::string::npos;
         at = text.find('#', at + 1)) {
      const int run = std::atoi(text.c_str() + at + 1);
      const auto start = mHistory.mRunStarts.find(run);
      const bool resumed =
        start != mHistory.mRunStarts.end() && start->second == position;
      Expect(run == last || resumed, "pieces of two attempts are mixed");
      last = run;
      ++position;
    }
  }

  void CheckRuns()
  {
    if (mPath != CallPath::ClaimedCall) {
      return;
    }
    for (const auto& [account, n] : mHistory.mServiceRuns) {
      Expect(n <= 1,
             "a non-idempotent call ran " + std::to_string(n) + " times for " +
               account.Text());
    }
  }

  void CheckFirst()
  {
    const CallerRecord& first = *mHistory.mCallers.front();
    const bool isRace =
      mFaults.size() == 1 && (mFaults.front().mFault == Fault::HedgeLate ||
                              mFaults.front().mFault == Fault::BothAnswer);
    Expect(!isRace || first.mAttempts.size() == 2,
           "the late attempt was not hedged");
    if (MustBeWhole(mPath, mFaults) && !first.mGone) {
      Expect(OutcomeOf(mPath, first) == Outcome::Whole,
             "answered " + std::to_string(first.mStatus) + " " + first.mBody +
               first.mStream + " though another server could serve it");
    }
  }

  // The request of the other account comes last, without faults; the resend
  // of the first account comes before it.
  void CheckLater()
  {
    const auto& callers = mHistory.mCallers;
    if (mFaults.size() > 1 || callers.size() < 3) {
      return;
    }
    Expect(OutcomeOf(mPath, *callers.back()) == Outcome::Whole,
           "the other account got no whole answer: " + callers.back()->mBody);
    const Outcome first = OutcomeOf(mPath, *callers.front());
    const CallerRecord& again = *callers[callers.size() - 2];
    if (mPath == CallPath::ClaimedCall &&
        (first == Outcome::Whole || first == Outcome::NotRun) && !WasKilled()) {
      Expect(OutcomeOf(mPath, again) == Outcome::Whole,
             "the resend got no recorded answer: " + again.mBody);
    }
  }

  [[nodiscard]] bool WasKilled() const
  {
    return std::any_of(mFaults.begin(), mFaults.end(), [](const Cell& aCell) {
      return aCell.mFault == Fault::KillHome;
    });
  }

  CallPath mPath;
  const std::vector<Cell>& mFaults;
  const History& mHistory;
  std::vector<std::string> mFound;
};

} // namespace

std::vector<std::string>
CheckHistory(CallPath aPath,
             const std::vector<Cell>& aFaults,
             const History& aHistory)
{
  return Checker(aPath, aFaults, aHistory).Check();
}

} // namespace bilberrytrail
