#pragma once

#include "config_history.h"
#include "soak_site.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytrail::soak {

// The platform's bounds: a configuration is in force within the first time at a
// daemon that was undisturbed for the second one.
inline constexpr Duration kInForceWithin = 2s;
inline constexpr Duration kStableTime = 3s;

// A span of time in which something disturbed a daemon, or all of them.
struct Disturbance
{
  ActionKind mKind = ActionKind::Kill;
  // Nothing for all daemons.
  std::optional<std::size_t> mDaemon;
  Instant mBegin;
  Instant mEnd;
};

// What a client asked and was told.
struct ConfigExchange
{
  std::string mId;
  std::size_t mDaemon = 0;
  // Number of the daemon's processes when it was sent.
  int mStart = 0;
  ConfigRequest mRequest;
  Handling mHandling;
  Instant mSentAt;
  Instant mAnsweredAt;
};

// Returns all kinds of disturbances of a play.
[[nodiscard]] std::vector<ActionKind>
AllDisturbances();

// How a play goes.
struct ConfigPlayShape
{
  std::size_t mDaemons = 9;
  std::size_t mZones = 3;
  Duration mLength = 20s;
  // Drawn from all kinds of disturbances when empty.
  std::vector<ActionKind> mKinds;
};

// Changes of the configuration in series, at daemons that are processes of
// their own, while these, their ways to the table service and the service
// itself are disturbed. Clients ask for what was added, moved and taken away.
class ConfigPlay
{
public:
  ConfigPlay(std::uint64_t aSeed,
             const std::string& aFolder,
             const ConfigPlayShape& aShape);

  // Plays, and returns what broke a promise, a line each.
  [[nodiscard]] std::vector<std::string> Run();
  // Returns one line about what was played.
  [[nodiscard]] std::string Summary() const;

private:
  void RunClient(std::size_t aNumber);
  void RunOperator();
  void RunPlan();
  void Disturb(const Action& aAction);
  [[nodiscard]] bool AwaitReady();
  void NoteRuns();
  // Returns whether a daemon was undisturbed from a time before aFrom to aTo.
  [[nodiscard]] bool IsInTouch(std::size_t aDaemon,
                               Instant aFrom,
                               Instant aTo) const;
  [[nodiscard]] bool IsLate(const ConfigExchange& aExchange) const;
  void NoteLateness();
  void JudgeLate();
  void JudgeRefusals();
  void JudgeRegress();
  void JudgeServed();
  void JudgeLogs();
  void Report(const char* aWhat, const ConfigExchange& aExchange);
  [[nodiscard]] std::string LogOf(const ConfigExchange& aExchange) const;

  const std::uint64_t mSeed;
  const std::string mFolder;
  const ConfigPlayShape mShape;
  Loop mLoop;
  SoakSite mSite;
  ConfigHistory mHistory;
  std::vector<ConfigExchange> mExchanges;
  std::vector<Disturbance> mDisturbances;
  std::vector<std::string> mFaults;
  Instant mBegin;
  std::size_t mRunningClients = 0;
  std::size_t mJudged = 0;
  // Longest time after an acknowledgement for which a request was handled
  // otherwise.
  Duration mLatestRefusal{};
  Duration mLatestRun{};
  bool mIsOver = false;
};

} // namespace bilberrytrail::soak
