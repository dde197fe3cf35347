#pragma once

#include "site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <atomic>
#include <csignal>
#include <future>
#include <string>
#include <vector>

namespace bilberrytrail {

// Bounds that the project states for its users.
inline constexpr Duration kLeavingBound = 3s;
inline constexpr Duration kReleaseBound = 6s;
// Period of the membership's pings in the tests.
inline constexpr Duration kTestGossipPeriod = 200ms;
// Time within which the members of a site of three learn of a death.
[[nodiscard]] Duration
DeathBound();
// Longest wait of a test for an event; reaching it fails the test.
inline constexpr Duration kPatience = 30s;

// Returns the text that the engine stand-ins give for a prompt.
[[nodiscard]] std::string
ExpectedText(const std::string& aPrompt, int aTokens);

// A streamed completion on a thread of its own.
class BackgroundStream
{
public:
  BackgroundStream(const Endpoint& aEndpoint,
                   const std::string& aPrompt,
                   int aTokens);
  ~BackgroundStream();

  // Returns the number of tokens received so far.
  [[nodiscard]] int Tokens() const noexcept { return mTokens; }
  // Returns true once the stream has ended.
  [[nodiscard]] bool HasEnded() const;

  // Waits for the end.
  StreamedAnswer Take() { return mAnswer.get(); }

private:
  std::atomic<int> mTokens = 0;
  std::future<StreamedAnswer> mAnswer;
};

// What became of a booking at the order service.
struct Booking
{
  unsigned mStatus = 0;
  // Of a refusal: "not_run", "unknown" or "incomplete".
  std::string mDisposition;
  std::string mBody;
};

// A site with the release "v1" in force everywhere and every engine serving.
class RunningSite
{
public:
  explicit RunningSite(SiteShape aShape = {});

  [[nodiscard]] Site& Get() noexcept { return mSite; }
  Site* operator->() noexcept { return &mSite; }

  // Index of the daemon that is home to the server, as daemon n sees it.
  [[nodiscard]] std::size_t HomeOf(const std::string& aServer,
                                   std::size_t aAsked = 0);
  // One number of an engine's or order server's counts.
  [[nodiscard]] std::uint64_t Count(const SiteProcess& aProcess,
                                    const std::string& aName);
  // Runs of an order, over all order servers that answer.
  [[nodiscard]] std::uint64_t RunsOf(const std::string& aOrder);
  [[nodiscard]] bool IsReady(std::size_t aDaemon);
  [[nodiscard]] Json Status(std::size_t aDaemon);
  // Releases in force on a daemon, 0 when none.
  [[nodiscard]] int ReleaseOn(std::size_t aDaemon);

  [[nodiscard]] HttpResponse Apply(std::size_t aDaemon,
                                   int aAgainst,
                                   const std::string& aId,
                                   const std::string& aNote);
  [[nodiscard]] StreamedAnswer Complete(std::size_t aDaemon,
                                        const std::string& aPrompt,
                                        int aTokens);
  [[nodiscard]] Booking Book(std::size_t aDaemon,
                             const std::string& aKey,
                             const std::string& aOrder);
  // Lets new attempts run on one engine only; -1 for all engines.
  void RunOnlyOn(int aEngine);
  // Starts a stream at the daemon that runs on the engine, and waits for its
  // first tokens.
  [[nodiscard]] std::unique_ptr<BackgroundStream> StreamOn(
    std::size_t aEngine,
    std::size_t aDaemon,
    const std::string& aPrompt,
    int aTokens);
  void Kill(SiteProcess& aProcess);

private:
  Site mSite;
};

} // namespace bilberrytrail
