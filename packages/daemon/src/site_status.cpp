#include "site_status.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrytrail {

namespace {

constexpr Duration kPeerTimeout = 1s;

Json
BasicRow(const ServerId& aId, const BackendView& aServer)
{
  return { { "name", aId.Text() },
           { "product", aServer.mVm.mProduct.Text() },
           { "role", ToName(aServer.mVm.mRole) },
           { "zone", aServer.mVm.mZone.Text() },
           { "home", aServer.mHome.Text() },
           { "state", aServer.mVm.mLeaving ? "leaving" : "unknown" } };
}

void
DescribeStore(Json& aRow, const HomedStore& aStore)
{
  const auto use = aStore.Use(MonotonicNow());
  aRow["imported_used_bytes"] = use.mUsedBytes;
  aRow["imported_unused_bytes"] = use.mUnusedBytes;
  aRow["imported_used_share"] = use.mUsedShare;
  aRow["link_backlog_ms"] = ToMillis(use.mBacklog);
}

// Returns whether the engine serves a version that the release has in force.
bool
IsInLine(const EngineState& aState, const ProductState& aProduct)
{
  return std::any_of(aState.mVersions.begin(),
                     aState.mVersions.end(),
                     [&](const LoadedVersion& aLoaded) {
                       const auto it = aProduct.mModels.find(aLoaded.mModel);
                       return aLoaded.mReady && it != aProduct.mModels.end() &&
                              it->second.mVersion == aLoaded.mVersion;
                     });
}

std::string
StateName(const HomedServer& aServer, const std::optional<EngineState>& aState)
{
  if (aServer.Vm().mLeaving || (aState && aState->mLeaving)) {
    return "leaving";
  }
  if (!aServer.TakesWork(MonotonicNow())) {
    return "dead";
  }
  const bool isLoading =
    aState &&
    std::any_of(aState->mVersions.begin(),
                aState->mVersions.end(),
                [](const LoadedVersion& aLoaded) { return !aLoaded.mReady; });
  return isLoading ? "loading" : "serving";
}

void
DescribeEngine(Json& aRow,
               const EngineState& aState,
               const ProductState* aProduct)
{
  aRow["versions"] = Json::array();
  for (const auto& it : aState.mVersions) {
    aRow["versions"].push_back({ { "model", it.mModel.Text() },
                                 { "version", it.mVersion.Text() },
                                 { "ready", it.mReady } });
  }
  if (aProduct != nullptr) {
    const std::uint64_t number = aProduct->mNumber.Value();
    const bool isInLine = IsInLine(aState, *aProduct);
    aRow["release"] = isInLine || number == 0 ? number : number - 1;
  }
}

} // namespace

Json
DescribeHomedServers(const ControlView& aView, HomeService& aHomes)
{
  Json rows = Json::array();
  for (const auto& [id, listed] : aView.mServers) {
    if (listed.mHome != aView.mSelf) {
      continue;
    }
    Json row = BasicRow(id, listed);
    const auto server =
      listed.mVm.mRole == VmRole::Store ? nullptr : aHomes.Find(id);
    if (server != nullptr) {
      const auto state = server->State();
      if (!listed.mVm.mLeaving) {
        row["state"] = StateName(*server, state);
      }
      row["queued"] = server->Queue().Waiting();
      row["running"] = server->Queue().Running();
      if (state) {
        row["resident_blocks"] = server->ResidentBlocks();
        DescribeEngine(row, *state, aView.FindProduct(listed.mVm.mProduct));
      }
      if (const auto age = server->ReportAge(MonotonicNow())) {
        row["report_age_ms"] = ToMillis(*age);
      }
    }
    if (listed.mVm.mRole == VmRole::Store) {
      DescribeStore(row, *aHomes.Cache().Stores().Find(StoreId(id.Text())));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

std::string
StoreMetricsText(HomeService& aHomes)
{
  std::string text;
  const auto add =
    [&](std::string_view aName, const StoreId& aStore, std::uint64_t aValue) {
      text += "bilberrytrail_";
      text += aName;
      text += "{store=\"" + aStore.Text() + "\"} ";
      text += std::to_string(aValue) + "\n";
    };
  for (const auto& store : aHomes.Cache().Stores().All()) {
    const auto use = store->Use(MonotonicNow());
    add("imported_used_bytes_total", store->Id(), use.mUsedBytes);
    add("imported_unused_bytes_total", store->Id(), use.mUnusedBytes);
  }
  return text;
}

Json
DescribeAllServers(const ControlView& aView,
                   HomeService& aHomes,
                   ThreadContext& aThread)
{
  std::map<std::string, Json> rows;
  for (const auto& [id, listed] : aView.mServers) {
    rows.emplace(id.Text(), BasicRow(id, listed));
  }
  const auto take = [&](const Json& aRows) {
    for (const auto& row : aRows) {
      if (row.is_object() && row.contains("name") && row["name"].is_string()) {
        rows[row["name"].get<std::string>()] = row;
      }
    }
  };
  for (const auto& member : aView.mMembers) {
    if (member.mId == aView.mSelf) {
      continue;
    }
    const auto reply =
      aThread.Peers().Call(member, "home.status", Json::object(), kPeerTimeout);
    if (reply && reply.value().contains("servers")) {
      take(reply.value()["servers"]);
    }
  }
  take(DescribeHomedServers(aView, aHomes));
  Json list = Json::array();
  for (auto& [name, row] : rows) {
    list.push_back(std::move(row));
  }
  return list;
}

} // namespace bilberrytrail
