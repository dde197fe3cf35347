#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <cstddef>
#include <memory>

namespace bilberrytrail {

// An observed time of a server and its prediction, such as the time to first
// token or between two tokens.
struct HealthSample
{
  Duration mPredicted{};
  Duration mObserved{};
};

// Load that a server reported about itself.
struct LoadReport
{
  // Ratio of the reported time per token to the server's usual time per token.
  double mSlowdown = 1;
};

// Settings of slow-server detection.
struct HealthSettings
{
  // Slowdown relative to the other servers above which a server is slow and its
  // weight is reduced.
  double mSlowFactor = 1.5;
  // Slowdown below which a slow server is healthy again.
  double mHealthyFactor = 1.2;
  double mMinWeight = 0.02;
  // Time without samples after which a slow server is first probed; doubled by
  // each probe that finds it still slow.
  Duration mProbePeriod = 200ms;
  Duration mMaxProbePeriod = 2s;
  // Maximum delay of load reports.
  Duration mReportLag = 2s;
  // A server without samples for this time counts as healthy again.
  Duration mEvidenceLifetime = 10s;
};

// Detects temporarily slow servers and weights each server. Runs at the home of
// the servers, which observes all of their answers.
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
  // Returns the slowdown relative to the other servers, 1 when healthy.
  [[nodiscard]] virtual double Slowdown(const ServerId& aServer,
                                        Instant aNow) const = 0;

  // Adds an observed time.
  virtual void AddSample(const ServerId& aServer,
                         const HealthSample& aSample,
                         Instant aNow) = 0;
  // Records that an answer or token is overdue; mObserved is the time waited so
  // far. To be called once for each further multiple of the predicted time.
  virtual void AddOverdue(const ServerId& aServer,
                          const HealthSample& aSample,
                          Instant aNow) = 0;
  // Adds a load report that arrived at aNow. It is ignored when there are
  // samples newer than mReportLag before its arrival.
  virtual void AddReport(const ServerId& aServer,
                         const LoadReport& aReport,
                         Instant aNow) = 0;
  // Returns true when one request, preferably one that tolerates delay, should
  // be sent to the slow server to check whether it has recovered.
  [[nodiscard]] virtual bool TakeProbe(const ServerId& aServer,
                                       Instant aNow) = 0;
  // Removes a server that has left.
  virtual void Forget(const ServerId& aServer) = 0;
};

[[nodiscard]] std::unique_ptr<ServerHealth>
MakeServerHealth(const HealthSettings& aSettings);

// Returns the baseline, for which all servers are healthy.
[[nodiscard]] std::unique_ptr<ServerHealth>
MakeNoDetection();

} // namespace bilberrytrail
