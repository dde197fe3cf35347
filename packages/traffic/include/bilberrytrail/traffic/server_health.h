#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <memory>

namespace bilberrytrail {

// One comparison of what a server did with what was predicted for it, such as
// a time to first token or the time between two tokens.
struct HealthSample
{
  Duration mPredicted{};
  Duration mObserved{};
};

// What a server reported of itself.
struct LoadReport
{
  // Reported time per token over the time per token that is usual for it.
  double mSlowdown = 1;
};

// Settings of slow-server detection.
struct HealthSettings
{
  // Slowdown in relation to the other servers from which the weight falls.
  double mSlowFactor = 1.5;
  // Slowdown below which a slow server is sound again.
  double mHealthyFactor = 1.2;
  double mMinWeight = 0.02;
  // Time without samples after which a slow server is first probed; doubled
  // by each probe that finds it slow still.
  Duration mProbePeriod = 200ms;
  Duration mMaxProbePeriod = 2s;
  // Longest time by which load reports are late.
  Duration mReportLag = 2s;
  // A server without samples for so long counts as sound again.
  Duration mEvidenceLifetime = 10s;
};

// Finds servers that are slow for moments and gives each a weight. Fed at the
// home of the servers, which sees each answer of theirs.
//
//   health->AddSample(server, { predicted, observed }, now);
//   candidate.mWeight = health->Weight(server, now);
class ServerHealth
{
public:
  virtual ~ServerHealth() = default;

  // Returns the weight in (0, 1] for choosing the server.
  [[nodiscard]] virtual double Weight(const ServerId& aServer,
                                      Instant aNow) const = 0;
  // Returns the slowdown in relation to the other servers, 1 when sound.
  [[nodiscard]] virtual double Slowdown(const ServerId& aServer,
                                        Instant aNow) const = 0;

  // Takes in an observed time.
  virtual void AddSample(const ServerId& aServer,
                         const HealthSample& aSample,
                         Instant aNow) = 0;
  // Takes in that something has not come yet though it is past its predicted
  // time; mObserved is the time so far. To be called once for each further
  // multiple of the predicted time.
  virtual void AddOverdue(const ServerId& aServer,
                          const HealthSample& aSample,
                          Instant aNow) = 0;
  // Takes in a report that arrived now. It counts only when there are no
  // samples from the time that it can speak of, or later.
  virtual void AddReport(const ServerId& aServer,
                         const LoadReport& aReport,
                         Instant aNow) = 0;
  // Returns true when one request, of those that can wait best, should be sent
  // to the slow server to see whether it is sound again.
  [[nodiscard]] virtual bool TakeProbe(const ServerId& aServer,
                                       Instant aNow) = 0;
  // Forgets a server that has left.
  virtual void Forget(const ServerId& aServer) = 0;
};

[[nodiscard]] std::unique_ptr<ServerHealth>
MakeServerHealth(const HealthSettings& aSettings);

// Returns the baseline, for which all servers are sound.
[[nodiscard]] std::unique_ptr<ServerHealth>
MakeNoDetection();

} // namespace bilberrytrail
