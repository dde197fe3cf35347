#pragma once

#include <bilberrytrail/entry/route_table.h>
#include <bilberrytrail/entry/site_replica.h>
#include <bilberrytrail/entry/weight_history.h>

#include <map>
#include <memory>

namespace bilberrytrail {

// What this daemon believes of the site at one moment; immutable.
struct SiteView
{
  // Null before the first configuration was read.
  std::shared_ptr<const SiteConfig> mConfig;
  std::shared_ptr<const RouteTable> mRoutes;
  std::shared_ptr<const AccountKeys> mAccounts;
  std::vector<ServerRecord> mServers;
  WeightHistory mWeights;

  // Returns null when the configuration has no such service.
  [[nodiscard]] const BackendService* FindService(
    const ServiceId& aName) const noexcept;
};

// Makes views from the copy of the tables. Rows that cannot be read name
// nothing: the last readable configuration stays, other rows are left out.
// Each row that cannot be read is reported once.
class SiteAssembler
{
public:
  explicit SiteAssembler(const SiteReader& aReader)
    : mReader(aReader)
  {
  }

  // Returns the view of the rows in force.
  [[nodiscard]] std::shared_ptr<const SiteView> Assemble(
    const SiteReplica& aReplica,
    Instant aNow);
  // Counts the time since new weights were named from now on.
  void RestartWeightClock(Instant aNow) noexcept
  {
    mOperator.mWeights.RestartClock(aNow);
  }

private:
  void ReadOperatorRow(const SiteRow& aRow, Instant aNow);
  void ReadServerRow(const SiteRow& aRow, SiteView& aView);
  void ApplyConfig(SiteConfig aConfig);
  void ReportUnreadable(SiteTable aTable,
                        const SiteRow& aRow,
                        const Error& aError);

  const SiteReader& mReader;
  // The view without servers, made of the operator's rows.
  SiteView mOperator;
  std::uint64_t mOperatorVersion = 0;
  bool mHasReadOperator = false;
  // Records by key, with the version of the row that they were read from.
  std::map<std::string, std::pair<std::uint64_t, ServerRecord>> mServers;
  // Version of the last row of a key that was reported as unreadable.
  std::map<std::string, std::uint64_t> mReported;
};

} // namespace bilberrytrail
