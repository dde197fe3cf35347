#include <bilberrytrail/traffic/server_health.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace bilberrytrail {
namespace {

// Number of samples of which the median is taken; it tolerates two outliers.
constexpr std::size_t kWindowSamples = 5;
constexpr double kMaxSlowdown = 50;

// Recent samples of one server, as the ratio of observed to predicted time.
struct Evidence
{
  std::array<double, kWindowSamples> mRatios{ 1, 1, 1, 1, 1 };
  std::size_t mNext = 0;
  Instant mLastSample = Instant::min();
  Instant mNextProbe = Instant::min();
  Duration mProbePeriod{};
  double mReported = 1;
  bool mSlow = false;
};

double
MedianOf(std::array<double, kWindowSamples> aRatios)
{
  std::nth_element(
    aRatios.begin(), aRatios.begin() + kWindowSamples / 2, aRatios.end());
  return aRatios[kWindowSamples / 2];
}

double
RatioOf(const HealthSample& aSample)
{
  const auto predicted = std::max(aSample.mPredicted, Duration(1));
  return std::clamp(static_cast<double>(aSample.mObserved.count()) /
                      static_cast<double>(predicted.count()),
                    1 / kMaxSlowdown,
                    kMaxSlowdown);
}

// See MakeServerHealth.
class MedianServerHealth final : public ServerHealth
{
public:
  explicit MedianServerHealth(const HealthSettings& aSettings)
    : mSettings(aSettings)
  {
  }

  double Weight(const ServerId& aServer, Instant aNow) const override
  {
    const auto it = mServers.find(aServer);
    if (it == mServers.end() || !it->second.mSlow) {
      return 1;
    }
    // Squared, so that a server at half speed gets a quarter of the weight.
    const double slowdown = std::max(1.0, Slowdown(aServer, aNow));
    return std::max(mSettings.mMinWeight, 1 / (slowdown * slowdown));
  }

  double Slowdown(const ServerId& aServer, Instant aNow) const override
  {
    const auto it = mServers.find(aServer);
    return it == mServers.end()
             ? 1
             : RawSlowdown(it->second, aNow) / MedianSlowdown(aNow);
  }

  void AddSample(const ServerId& aServer,
                 const HealthSample& aSample,
                 Instant aNow) override
  {
    Add(aServer, RatioOf(aSample), aNow);
  }

  void AddOverdue(const ServerId& aServer,
                  const HealthSample& aSample,
                  Instant aNow) override
  {
    // The time so far is a lower bound: it is no evidence about a server that
    // is known to be slower.
    const double ratio = RatioOf(aSample);
    if (ratio > MedianOf(mServers[aServer].mRatios)) {
      Add(aServer, ratio, aNow);
    }
  }

  void AddReport(const ServerId& aServer,
                 const LoadReport& aReport,
                 Instant aNow) override
  {
    auto& evidence = mServers[aServer];
    const bool hasNewer = evidence.mLastSample != Instant::min() &&
                          evidence.mLastSample >= aNow - mSettings.mReportLag;
    if (hasNewer) {
      return;
    }
    evidence.mReported =
      std::clamp(aReport.mSlowdown, 1 / kMaxSlowdown, kMaxSlowdown);
    evidence.mRatios.fill(evidence.mReported);
    evidence.mLastSample = aNow - mSettings.mReportLag;
    UpdateSlow(evidence, aNow);
  }

  bool TakeProbe(const ServerId& aServer, Instant aNow) override
  {
    const auto it = mServers.find(aServer);
    if (it == mServers.end() || !it->second.mSlow) {
      return false;
    }
    auto& evidence = it->second;
    if (aNow < evidence.mNextProbe) {
      return false;
    }
    evidence.mProbePeriod =
      std::min(2 * evidence.mProbePeriod, mSettings.mMaxProbePeriod);
    evidence.mNextProbe = aNow + evidence.mProbePeriod;
    return true;
  }

  void Forget(const ServerId& aServer) override { mServers.erase(aServer); }

private:
  [[nodiscard]] double RawSlowdown(const Evidence& aEvidence,
                                   Instant aNow) const
  {
    const bool isStale =
      aEvidence.mLastSample == Instant::min() ||
      aNow - aEvidence.mLastSample > mSettings.mEvidenceLifetime;
    return isStale ? 1 : MedianOf(aEvidence.mRatios);
  }

  // Returns the median slowdown of all servers, so that predictions which are
  // wrong for all servers do not make all of them slow.
  [[nodiscard]] double MedianSlowdown(Instant aNow) const
  {
    std::vector<double> all;
    all.reserve(mServers.size());
    for (const auto& [id, evidence] : mServers) {
      all.push_back(RawSlowdown(evidence, aNow));
    }
    if (all.size() < 3) {
      return 1;
    }
    const auto middle =
      all.begin() + static_cast<std::ptrdiff_t>((all.size() - 1) / 2);
    std::nth_element(all.begin(), middle, all.end());
    return *middle;
  }

  void Add(const ServerId& aServer, double aRatio, Instant aNow)
  {
    auto& evidence = mServers[aServer];
    evidence.mRatios.at(evidence.mNext) = aRatio;
    evidence.mNext = (evidence.mNext + 1) % kWindowSamples;
    evidence.mLastSample = aNow;
    const bool wasSlow = evidence.mSlow;
    UpdateSlow(evidence, aNow);
    if (!wasSlow || aRatio < mSettings.mHealthyFactor) {
      evidence.mProbePeriod = mSettings.mProbePeriod;
    }
    evidence.mNextProbe = aNow + evidence.mProbePeriod;
  }

  void UpdateSlow(Evidence& aEvidence, Instant aNow) const
  {
    const double slowdown = RawSlowdown(aEvidence, aNow) / MedianSlowdown(aNow);
    const double bound =
      aEvidence.mSlow ? mSettings.mHealthyFactor : mSettings.mSlowFactor;
    aEvidence.mSlow = slowdown >= bound;
  }

  HealthSettings mSettings;
  std::map<ServerId, Evidence> mServers;
};

// See MakeNoDetection.
class NoDetection final : public ServerHealth
{
public:
  double Weight(const ServerId& /*aServer*/, Instant /*aNow*/) const override
  {
    return 1;
  }
  double Slowdown(const ServerId& /*aServer*/, Instant /*aNow*/) const override
  {
    return 1;
  }
  void AddSample(const ServerId& /*aServer*/,
                 const HealthSample& /*aSample*/,
                 Instant /*aNow*/) override
  {
  }
  void AddOverdue(const ServerId& /*aServer*/,
                  const HealthSample& /*aSample*/,
                  Instant /*aNow*/) override
  {
  }
  void AddReport(const ServerId& /*aServer*/,
                 const LoadReport& /*aReport*/,
                 Instant /*aNow*/) override
  {
  }
  bool TakeProbe(const ServerId& /*aServer*/, Instant /*aNow*/) override
  {
    return false;
  }
  void Forget(const ServerId& /*aServer*/) override {}
};

} // namespace

std::unique_ptr<ServerHealth>
MakeServerHealth(const HealthSettings& aSettings)
{
  return std::make_unique<MedianServerHealth>(aSettings);
}

std::unique_ptr<ServerHealth>
MakeNoDetection()
{
  return std::make_unique<NoDetection>();
}

} // namespace bilberrytrail
