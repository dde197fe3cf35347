#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

namespace bilberrytrail {

// A server that could run a request, with the estimates made for it.
struct ServerCandidate
{
  ServerId mServer;
  // Weight from ServerHealth; 0 takes the server out.
  double mWeight = 1;
  // Estimated time in the server's queue.
  Duration mQueueWait{};
  // Estimated time to the first token after the queue, by the best way to get
  // the prompt's prefix.
  Duration mFirstToken{};
  // The server was picked by the planner, for example since it holds the
  // prefix; it is always compared.
  bool mPreferred = false;
};

// Chooses the server for a request.
class ServerChooser
{
public:
  virtual ~ServerChooser() = default;

  // Returns the index of the chosen candidate, or nothing when none has a
  // weight above 0.
  [[nodiscard]] virtual std::optional<std::size_t> Choose(
    const std::vector<ServerCandidate>& aCandidates,
    Random& aRandom) = 0;
};

// Returns a chooser that compares the preferred candidates and two others,
// picked at random by weight, and takes the one with the least estimated time
// to first token divided by weight.
[[nodiscard]] std::unique_ptr<ServerChooser>
MakePowerOfTwoChooser();

// Returns the baseline, which takes the candidates in turn.
[[nodiscard]] std::unique_ptr<ServerChooser>
MakeRoundRobinChooser();

} // namespace bilberrytrail
