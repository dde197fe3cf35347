#pragma once

#include "fault_step.h"

#include "kept_blocks.h"

#include "caller_service.h"
#include "home_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace bilberrytrail {

// Seed of all random choices in the table.
inline constexpr std::uint64_t kFaultSeed = 20261;

// Thrown on the fibers of a daemon that has been killed: nothing that it does
// after that moment takes effect.
struct Killed
{};

// What one caller saw of one request.
struct CallerRecord
{
  AccountId mAccount;
  // Weight version in force when the request came.
  VersionId mVersion;
  unsigned mStatus = 0;
  // Body of a response that was sent whole.
  std::string mBody;
  // Chunks of a stream.
  std::string mStream;
  bool mStreamEnded = false;
  bool mAborted = false;
  bool mGone = false;
  // Final answers given; more than one is a fault of the daemon.
  int mFinals = 0;
  Duration mTook{};
  // The servers of these homes were leaving before the request came.
  std::set<DaemonId> mLeavingBefore;
  // Attempts that the entry made for the request.
  std::set<AttemptId> mAttempts;
  // Times that a backend server began to run the request, to the cell's end.
  int mRuns = 0;
};

// All that a cell's checker looks at.
struct History
{
  // The first is the one that the faults hit.
  std::vector<std::unique_ptr<CallerRecord>> mCallers;
  // Runs at plain services by account.
  std::map<AccountId, int> mServiceRuns;
  // Accounts for which each block id was seen.
  std::map<BlockId, std::set<AccountId>> mBlockAccounts;
  // Position at which each run at an engine began; its pieces carry its number.
  std::map<int, std::uint32_t> mRunStarts;
  // Faults that the fakes noticed.
  std::vector<std::string> mFaults;
  // Imported blocks that engines used.
  int mImportedUsed = 0;
};

// The fakes at the interfaces and three daemons (two entries and the homes)
// around the real request path, on one loop.
class RequestWorld
{
public:
  class Node;

  RequestWorld(CallPath aPath, std::vector<Cell> aFaults);
  ~RequestWorld();

  // Runs the request, a resend through another daemon, and the same request
  // of another account. Returns when all have their answers.
  void Run();

  [[nodiscard]] const History& Seen() const noexcept { return mHistory; }
  // Returns how many of the armed faults took effect.
  [[nodiscard]] std::size_t Fired() const noexcept { return mFired; }

  // Hooks of the fakes.
  [[nodiscard]] bool Fires(Step aStep, Fault aFault);
  // Applies the faults of a step that need no help of the fake.
  void Pass(Step aStep, Node& aHome);
  // Ends the calling fiber when its daemon is dead.
  static void CheckAlive(const Node& aNode);
  [[nodiscard]] Loop& GetLoop() noexcept { return mLoop; }
  [[nodiscard]] History& Recorded() noexcept { return mHistory; }
  [[nodiscard]] Node* NodeOf(const DaemonId& aId);
  [[nodiscard]] std::map<std::string, TableRow>& Rows() noexcept
  {
    return mRows;
  }
  [[nodiscard]] std::uint64_t NextRowVersion() noexcept
  {
    return ++mRowVersion;
  }
  // Notes a run of a plain service; returns the account that it is for.
  [[nodiscard]] AccountId NoteServiceRun(const AttemptId& aAttempt,
                                         const DaemonId& aHome);
  // Notes a run at an engine; returns its number.
  int NoteEngineRun(const GenerateRequest& aRequest, const DaemonId& aHome);
  // Holds an answer back that is about to begin, so that attempt and hedge
  // begin in the order that the path and its faults want.
  void HoldAnswer(Step aStep);
  // The blocks in the store and in the engines' caches.
  [[nodiscard]] KeptBlocks& Kept() noexcept { return mKept; }
  // Applies the faults of a step at which the store or the directory is used.
  void PassImport(Step aStep, Node& aHome);
  // Counts requests that run at homes.
  void ChangeServing(int aBy) noexcept { mServing += aBy; }

private:
  friend class Node;
  void Main();
  void Send(Node& aEntry, const std::string& aAccount);
  [[nodiscard]] HttpRequest MakeRequest(std::size_t aCaller,
                                        const std::string& aAccount) const;
  void StoreViews();
  void KeepPrompt();
  [[nodiscard]] ControlView MakeView(const Node& aNode) const;
  void NoteRun(CallerRecord& aCaller, const DaemonId& aHome);
  void DrainHome(Step aStep, Node& aHome);
  void AwaitQuiet();
  // Has the entry learn how long calls of the service take.
  void WarmUp();
  void Hold(const bool& aUntil);

  CallPath mPath;
  std::vector<Cell> mArmed;
  std::size_t mFired = 0;
  Loop mLoop{ LoopTime::Virtual };
  History mHistory;
  std::map<std::string, TableRow> mRows;
  std::uint64_t mRowVersion = 0;
  std::vector<std::unique_ptr<Node>> mNodes;
  // Places that other requests take in drained queues.
  std::vector<std::unique_ptr<QueuePlace>> mOthers;
  // Callers whose requests have no final answer yet.
  int mOpen = 0;
  int mServing = 0;
  bool mIsArmed = false;
  // Homes that know that their servers leave.
  std::set<DaemonId> mLeaving;
  bool mIsEntryDraining = false;
  std::string mVersion = "v1";
  KeptBlocks mKept;
  // Answers of hedged attempts: how many were about to begin, whether the
  // second one has, and the faults of the order.
  int mAnswers = 0;
  bool mHasFirstBegun = false;
  bool mHasHedgeBegun = false;
  bool mHedgeLate = false;
  bool mBothAnswer = false;
  int mLastRun = 0;
};

// Returns the pieces that a model answers with.
[[nodiscard]] std::vector<std::string>
AnswerPieces(const VersionId& aVersion);

// Returns the text of an answer without the numbers of the runs that made its
// pieces.
[[nodiscard]] std::string
WithoutRuns(std::string_view aText);

} // namespace bilberrytrail
