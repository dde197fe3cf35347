#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace bilberrytrail {

// A server that could run a request, with its estimates.
struct ServerCandidate
{
  ServerId mServer;
  // Weight from ServerHealth; 0 excludes the server.
  double mWeight = 1;
  // Estimated time in the server's queue.
  Duration mQueueWait{};
  // Estimated time from leaving the queue to the first token, with the fastest
  // way to obtain the prompt's prefix.
  Duration mFirstToken{};
  // The planner picked the server, for example because it holds the prefix; it
  // is always among the candidates compared.
  bool mPreferred = false;
};

// Chooses the server for a request.
class ServerChooser
{
public:
  virtual ~ServerChooser() = default;

  // Returns the index of the chosen candidate, or nullopt when none has a
  // weight above 0.
  [[nodiscard]] virtual std::optional<std::size_t> Choose(
    const std::vector<ServerCandidate>& aCandidates,
    Random& aRandom) = 0;
};

// Returns a chooser that compares the preferred candidates and two others,
// picked at random by weight, and chooses the one with the lowest estimated
// time to first token divided by weight.
[[nodiscard]] std::unique_ptr<ServerChooser>
MakePowerOfTwoChooser();

// Returns the baseline, which chooses the candidates in turn.
[[nodiscard]] std::unique_ptr<ServerChooser>
MakeRoundRobinChooser();

} // namespace bilberrytrail
