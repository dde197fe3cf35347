#include <bilberrytrail/platform/vm_list_change.h>

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/platform/platform_json.h>

#include <algorithm>
#include <map>
#include <set>

namespace bilberrytrail {

namespace {

// Number of changes kept for receivers that lag.
constexpr std::size_t kMaxSteps = 16;

bool
IsBefore(const VmEntry& aLeft, const VmEntry& aRight)
{
  return aLeft.mName < aRight.mName;
}

// Merges the later change into the earlier one.
void
Append(VmListChange& aEarlier, const VmListChange& aLater)
{
  std::set<std::string> touched(aLater.mRemoved.begin(), aLater.mRemoved.end());
  for (const auto& vm : aLater.mChanged) {
    touched.insert(vm.mName);
  }
  std::erase_if(aEarlier.mChanged, [&](const VmEntry& aVm) {
    return touched.contains(aVm.mName);
  });
  std::erase_if(aEarlier.mRemoved, [&](const std::string& aName) {
    return touched.contains(aName);
  });
  aEarlier.mChanged.insert(
    aEarlier.mChanged.end(), aLater.mChanged.begin(), aLater.mChanged.end());
  aEarlier.mRemoved.insert(
    aEarlier.mRemoved.end(), aLater.mRemoved.begin(), aLater.mRemoved.end());
}

} // namespace

void
SortByName(std::vector<VmEntry>& aVms)
{
  std::stable_sort(aVms.begin(), aVms.end(), IsBefore);
}

std::string
DigestOf(const std::vector<VmEntry>& aVms)
{
  return Sha256Hex(
    ToJson(aVms).dump(-1, ' ', false, Json::error_handler_t::replace));
}

VmListChange
ChangeBetween(const std::vector<VmEntry>& aFrom,
              const std::vector<VmEntry>& aTo)
{
  VmListChange change;
  auto from = aFrom.begin();
  for (const auto& vm : aTo) {
    while (from != aFrom.end() && from->mName < vm.mName) {
      change.mRemoved.push_back(from->mName);
      ++from;
    }
    if (from == aFrom.end() || from->mName != vm.mName) {
      change.mChanged.push_back(vm);
      continue;
    }
    if (*from != vm) {
      change.mChanged.push_back(vm);
    }
    ++from;
  }
  for (; from != aFrom.end(); ++from) {
    change.mRemoved.push_back(from->mName);
  }
  return change;
}

std::vector<VmEntry>
Apply(std::vector<VmEntry> aVms, const VmListChange& aChange)
{
  std::map<std::string, VmEntry> byName;
  for (auto& vm : aVms) {
    byName[vm.mName] = std::move(vm);
  }
  for (const auto& name : aChange.mRemoved) {
    byName.erase(name);
  }
  for (const auto& vm : aChange.mChanged) {
    byName[vm.mName] = vm;
  }
  std::vector<VmEntry> vms;
  vms.reserve(byName.size());
  for (auto& [name, vm] : byName) {
    vms.push_back(std::move(vm));
  }
  return vms;
}

Json
ToJson(const std::vector<VmEntry>& aVms)
{
  Json list = Json::array();
  for (const auto& vm : aVms) {
    list.push_back(ToJson(vm));
  }
  return list;
}

Result<std::vector<VmEntry>>
ReadVmEntries(const Json& aList)
{
  std::vector<VmEntry> vms;
  for (const auto& it : aList) {
    auto vm = ReadVmEntry(it);
    if (!vm) {
      return std::move(vm).error();
    }
    vms.push_back(std::move(vm).value());
  }
  return vms;
}

Json
ToJson(const VmListChange& aChange)
{
  return { { "changed", ToJson(aChange.mChanged) },
           { "removed", aChange.mRemoved } };
}

Result<VmListChange>
ReadVmListChange(const Json& aJson)
{
  JsonFields fields(aJson);
  VmListChange change;
  auto changed = ReadVmEntries(fields.List("changed"));
  for (const auto& it : fields.List("removed")) {
    if (!it.is_string()) {
      fields.Reject("removed");
      break;
    }
    change.mRemoved.push_back(it.get<std::string>());
  }
  if (auto ok = fields.Check(); !ok) {
    return std::move(ok).error();
  }
  if (!changed) {
    return std::move(changed).error();
  }
  change.mChanged = std::move(changed).value();
  return change;
}

void
VmListHistory::Add(const std::vector<VmEntry>& aVms, const std::string& aDigest)
{
  if (aDigest == mDigest) {
    return;
  }
  if (!mDigest.empty()) {
    mSteps.push_back({ mDigest, ChangeBetween(mVms, aVms) });
  }
  if (mSteps.size() > kMaxSteps) {
    mSteps.pop_front();
  }
  mVms = aVms;
  mDigest = aDigest;
}

std::optional<VmListChange>
VmListHistory::Since(const std::string& aDigest) const
{
  VmListChange change;
  if (aDigest == mDigest) {
    return change;
  }
  // The most recent change that starts from the receiver's list.
  auto it =
    std::find_if(mSteps.rbegin(), mSteps.rend(), [&](const Step& aStep) {
      return aStep.mFrom == aDigest;
    });
  if (it == mSteps.rend()) {
    return std::nullopt;
  }
  for (auto step = std::prev(it.base()); step != mSteps.end(); ++step) {
    Append(change, step->mChange);
  }
  return change;
}

} // namespace bilberrytrail
