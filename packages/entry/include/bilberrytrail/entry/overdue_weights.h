#pragma once

#include <bilberrytrail/entry/server_record.h>
#include <bilberrytrail/entry/weight_history.h>

#include <map>
#include <span>
#include <utility>
#include <vector>

namespace bilberrytrail {

// A server that lacks newer weights of a model after their deadline.
struct OverdueServer
{
  ServerId mServer;
  ModelId mModel;
  // The server's version and the newest.
  std::uint64_t mVersion = 0;
  std::uint64_t mNewest = 0;
  // Time since the deadline.
  Duration mLate{};
};

// Finds the servers that lack newer weights after their deadline, each once for
// each newest version, so that the log says why.
class OverdueWeights
{
public:
  // Maximum number of servers returned at once, so that a large site does not
  // flood the log; the others follow with the next calls.
  static constexpr std::size_t kMaxAtOnce = 8;

  // Returns the servers not returned before. Versions must be in use aWithin
  // after their announcement.
  [[nodiscard]] std::vector<OverdueServer> Next(
    std::span<const ServerRecord> aServers,
    const WeightHistory& aWeights,
    Duration aWithin,
    Instant aNow);

private:
  // Newest version for which a server was returned.
  std::map<std::pair<ServerId, ModelId>, std::uint64_t> mReturned;
};

} // namespace bilberrytrail
