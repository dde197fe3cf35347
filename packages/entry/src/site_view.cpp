#include <bilberrytrail/entry/site_view.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>
#include <set>
#include <string_view>

namespace bilberrytrail {

const BackendService*
SiteView::FindService(const ServiceId& aName) const noexcept
{
  if (mConfig == nullptr) {
    return nullptr;
  }
  const auto it =
    std::ranges::find(mConfig->mServices, aName, &BackendService::mName);
  return it == mConfig->mServices.end() ? nullptr : &*it;
}

void
SiteAssembler::ReportUnreadable(SiteTable aTable,
                                const SiteRow& aRow,
                                const Error& aError)
{
  auto& reported = mReported[aRow.mKey];
  if (reported == aRow.mVersion) {
    return;
  }
  reported = aRow.mVersion;
  LogLine(LogEvent::SiteRowUnreadable,
          { { "table", aTable },
            { "row", aRow.mKey },
            { "row_version", aRow.mVersion.Number() },
            { "reason", aError.mMessage } });
}

void
SiteAssembler::ApplyConfig(SiteConfig aConfig)
{
  if (mOperator.mConfig != nullptr &&
      aConfig.mVersion <= mOperator.mConfig->mVersion) {
    return;
  }
  LogLine(LogEvent::SiteConfigInForce,
          { { "config", aConfig.mVersion },
            { "routes", aConfig.mRoutes.size() },
            { "accounts", aConfig.mAccounts.size() },
            { "stores", aConfig.mStores.size() } });
  mOperator.mRoutes = std::make_shared<const RouteTable>(aConfig.mRoutes);
  mOperator.mAccounts = std::make_shared<const AccountKeys>(aConfig.mAccounts);
  mOperator.mConfig = std::make_shared<const SiteConfig>(std::move(aConfig));
}

void
SiteAssembler::ReadOperatorRow(const SiteRow& aRow, Instant aAbsentAt)
{
  auto parsed = mReader.Read(SiteTable::Operator, aRow);
  if (auto* config = std::get_if<SiteConfig>(&parsed)) {
    ApplyConfig(std::move(*config));
  } else if (const auto* target = std::get_if<WeightTarget>(&parsed)) {
    if (mOperator.mWeights.AddVersion(
          target->mModel, target->mVersion, aAbsentAt)) {
      LogLine(LogEvent::WeightsNamed,
              { { "model", target->mModel }, { "weights", target->mVersion } });
    }
  } else if (const auto* error = std::get_if<Error>(&parsed)) {
    ReportUnreadable(SiteTable::Operator, aRow, *error);
  }
}

void
SiteAssembler::ReadServerRow(const SiteRow& aRow, SiteView& aView)
{
  auto& [version, record] = mServers[aRow.mKey];
  if (version != aRow.mVersion) {
    version = aRow.mVersion;
    record = ServerRecord();
    auto parsed = mReader.Read(SiteTable::Servers, aRow);
    if (auto* server = std::get_if<ServerRecord>(&parsed)) {
      record = std::move(*server);
    } else if (const auto* error = std::get_if<Error>(&parsed)) {
      ReportUnreadable(SiteTable::Servers, aRow, *error);
    }
  }
  if (!record.mId.IsEmpty()) {
    aView.mServers.push_back(record);
  }
}

std::shared_ptr<const SiteView>
SiteAssembler::Assemble(const SiteReplica& aReplica, Instant aAbsentAt)
{
  if (mOperatorVersion != aReplica.Version(SiteTable::Operator)) {
    mOperatorVersion = aReplica.Version(SiteTable::Operator);
    // Weights found at the start may have been announced at any time before.
    const Instant at = mHasReadOperator ? aAbsentAt : Instant();
    mHasReadOperator = true;
    for (const auto& row : aReplica.Rows(SiteTable::Operator)) {
      ReadOperatorRow(row, at);
    }
  }
  auto view = std::make_shared<SiteView>(mOperator);
  view->mHasReadServers = aReplica.Version(SiteTable::Servers).IsKnown();
  const auto rows = aReplica.Rows(SiteTable::Servers);
  for (const auto& row : rows) {
    ReadServerRow(row, *view);
  }
  std::set<std::string_view> present;
  for (const auto& row : rows) {
    present.insert(row.mKey);
  }
  std::erase_if(mServers, [&](const auto& aEntry) {
    return !present.contains(aEntry.first);
  });
  return view;
}

} // namespace bilberrytrail
