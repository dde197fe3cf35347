#include <bilberrytrail/traffic/server_health.h>

#include <algorithm>
#include <array>
#include <map>
#include <vector>

namespace bilberrytrail {
namespace {

// Samples of which the median is taken: two outliers change nothing.
constexpr std::size_t kWindow = 5;
constexpr double kMaxSlowdown = 50;

// The last samples of one server as observed over predicted time.
struct Evidence
{
  std::array<double, kWindow> mRatios{ 1, 1, 1, 1, 1 };
  std::size_t mNext = 0;
  Instant mLastSample = Instant::min();
  Instant mNextProbe = Instant::min();
  Duration mProbePeriod{};
  double mReported = 1;
  bool mSlow = false;
};

double
MedianOf(std::array<double, kWindow> aRatios)
{
  std::nth_element(
    aRatios.begin(), aRatios.begin() + kWindow / 2, aRatios.end());
  return aRatios[kWindow / 2];
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
    // Squared, so that a server at half speed gets a quarter of the choices.
    const double slowdown = std::max(1.0, Slowdown(aServer, aNow));
    return std::max(mSettings.mMinWeight, 1 / (slowdown * slowdown));
  }

  double Slowdown(const ServerId& aServer, Instant aNow) const override
  {
    const auto it = mServers.find(aServer);
    return it == mServers.end() ? 1
                                : RawSlowdown(it->second, aNow) / Usual(aNow);
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
    // A lower bound says nothing about a server that is known to be slower.
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
    Judge(evidence, aNow);
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

  // Median slowdown of all servers, so that predictions which are wrong for
  // all of them do not make all of them slow.
  [[nodiscard]] double Usual(Instant aNow) const
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
    evidence.mNext = (evidence.mNext + 1) % kWindow;
    evidence.mLastSample = aNow;
    const bool wasSlow = evidence.mSlow;
    Judge(evidence, aNow);
    if (!wasSlow || aRatio < mSettings.mHealthyFactor) {
      evidence.mProbePeriod = mSettings.mProbePeriod;
    }
    evidence.mNextProbe = aNow + evidence.mProbePeriod;
  }

  void Judge(Evidence& aEvidence, Instant aNow) const
  {
    const double slowdown = RawSlowdown(aEvidence, aNow) / Usual(aNow);
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
