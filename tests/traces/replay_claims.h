#pragma once

#include "trace.h"

#include <bilberrytrail/orders/claim.h>

#include <map>
#include <memory>

namespace bilberrytrail {

// What a claim came to for one request.
enum class ClaimEnd : unsigned char
{
  Run,
  Answered,
  Recorded,
  Unknown,
  Refused
};

// Carries out the claims of a replay on a table in memory.
class ReplayClaims
{
public:
  // Reads and claims the key; Run when the call is to run now.
  [[nodiscard]] ClaimEnd Begin(std::uint64_t aTicket,
                               const TraceEvent& aEvent,
                               Instant aNow);
  // The call that was to run has ended.
  [[nodiscard]] ClaimEnd Finish(std::uint64_t aTicket,
                                bool aLostReply,
                                Instant aNow);
  // Returns the highest number of runs of one key.
  [[nodiscard]] double MostRuns() const;

private:
  [[nodiscard]] ClaimEnd Perform(ClaimedCall& aCall,
                                 ClaimActions aActions,
                                 Instant aNow);
  [[nodiscard]] CommitOutcome Commit(const TableWrite& aWrite);

  std::map<std::uint64_t, std::unique_ptr<ClaimedCall>> mCalls;
  std::map<std::string, TableRow> mRows;
  std::map<std::string, int> mRuns;
};

} // namespace bilberrytrail
