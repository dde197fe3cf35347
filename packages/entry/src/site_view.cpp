#include <bilberrytrail/entry/site_view.h>

#include <bilberrytrail/base/log.h>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace bilberrytrail {

namespace {

// Returns whether a record of a server is older than another one.
bool
GoesBack(const ServerRecord& aKnown, const ServerRecord& aRead)
{
  return aRead.mStartedAtMs < aKnown.mStartedAtMs ||
         (aRead.mStartedAtMs == aKnown.mStartedAtMs && aKnown.mIsLeaving &&
          !aRead.mIsLeaving);
}

void
LogEvacuations(const std::set<ZoneId>& aBefore, const std::set<ZoneId>& aNow)
{
  const auto log = [](const ZoneId& aZone, std::string_view aCause) {
    LogLine(LogEvent::SiteServersChanged,
            { { "cause", aCause }, { "zone", aZone } });
  };
  for (const auto& it : aNow) {
    if (!aBefore.contains(it)) {
      log(it, "evacuated");
    }
  }
  for (const auto& it : aBefore) {
    if (!aNow.contains(it)) {
      log(it, "evacuation_ended");
    }
  }
}

} // namespace

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
  mOperator.mRoutes = std::make_shared<const RouteTable>(aConfig.mRoutes);
  mOperator.mAccounts = std::make_shared<const AccountKeys>(aConfig.mAccounts);
  mOperator.mConfig = std::make_shared<const SiteConfig>(std::move(aConfig));
}

void
SiteAssembler::ReadOperatorRow(const SiteRow& aRow, Instant aAbsentAt)
{
  auto parsed = mReader.Read(SiteTable::Operator, aRow);
  if (auto* config = std::get_if<SiteConfig>(&parsed)) {
    mConfigKey = aRow.mKey;
    ApplyConfig(std::move(*config));
  } else if (const auto* target = std::get_if<WeightTarget>(&parsed)) {
    if (mOperator.mWeights.AddVersion(
          target->mModel, target->mVersion, aAbsentAt)) {
      LogLine(LogEvent::WeightsNamed,
              { { "model", target->mModel }, { "weights", target->mVersion } });
    }
  } else if (const auto* evacuation = std::get_if<ZoneEvacuation>(&parsed)) {
    mOperator.mEvacuated.insert(evacuation->mZone);
  } else if (const auto* error = std::get_if<Error>(&parsed)) {
    ReportUnreadable(SiteTable::Operator, aRow, *error);
    if (aRow.mKey == mConfigKey) {
      mOperator.mIsConfigUnreadable = true;
    }
  }
}

ServerRecord
SiteAssembler::ParseServer(const SiteRow& aRow)
{
  auto parsed = mReader.Read(SiteTable::Servers, aRow);
  if (auto* server = std::get_if<ServerRecord>(&parsed)) {
    return std::move(*server);
  }
  if (const auto* error = std::get_if<Error>(&parsed)) {
    ReportUnreadable(SiteTable::Servers, aRow, *error);
  }
  return {};
}

void
SiteAssembler::ReadServerRow(const SiteRow& aRow, SiteView& aView)
{
  const auto [it, isNew] = mServers.try_emplace(aRow.mKey);
  auto& known = it->second;
  if (isNew) {
    const auto removed =
      std::ranges::find(mRemoved, ServerId(aRow.mKey), [](const auto& aServer) {
        return aServer.mRecord.mId;
      });
    if (removed != mRemoved.end()) {
      known = std::move(*removed);
      mRemoved.erase(removed);
    }
  }
  if (known.mVersion != aRow.mVersion) {
    auto record = ParseServer(aRow);
    const bool isLaterEra = aRow.mVersion.Era() > known.mVersion.Era();
    if (!isLaterEra || !GoesBack(known.mRecord, record)) {
      known.mRecord = std::move(record);
    }
    known.mVersion = aRow.mVersion;
  }
  if (!known.mRecord.mId.IsEmpty()) {
    auto& server = aView.mServers.emplace_back(known.mRecord);
    server.mIsEvacuated = aView.mEvacuated.contains(server.mZone);
  }
}

void
SiteAssembler::NoteRemovals(const std::vector<SiteRow>& aRows)
{
  std::set<std::string_view> present;
  for (const auto& it : aRows) {
    present.insert(it.mKey);
  }
  for (auto it = mServers.begin(); it != mServers.end();) {
    if (present.contains(it->first)) {
      ++it;
      continue;
    }
    auto& server = it->second;
    if (!server.mRecord.mId.IsEmpty()) {
      server.mRecord.mIsLeaving = true;
      mRemoved.push_back(std::move(server));
    }
    it = mServers.erase(it);
  }
  while (mRemoved.size() > kMaxRemoved) {
    mRemoved.pop_front();
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
    mOperator.mIsConfigUnreadable = false;
    const auto before = std::exchange(mOperator.mEvacuated, {});
    for (const auto& row : aReplica.Rows(SiteTable::Operator)) {
      ReadOperatorRow(row, at);
    }
    LogEvacuations(before, mOperator.mEvacuated);
  }
  auto view = std::make_shared<SiteView>(mOperator);
  view->mHasReadServers = aReplica.Version(SiteTable::Servers).IsKnown();
  for (const auto table : AllOf<SiteTable>()) {
    view->mTableEra = std::max(view->mTableEra, aReplica.Version(table).Era());
    view->mNewestRows[static_cast<std::size_t>(table)] =
      aReplica.NewestRow(table);
  }
  const auto rows = aReplica.Rows(SiteTable::Servers);
  for (const auto& row : rows) {
    ReadServerRow(row, *view);
  }
  NoteRemovals(rows);
  return view;
}

} // namespace bilberrytrail
