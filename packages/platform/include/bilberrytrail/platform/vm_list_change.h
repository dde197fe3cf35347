#pragma once

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/platform/vm_list.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// What makes one list of VMs out of another.
struct VmListChange
{
  // Entries that are new or differ.
  std::vector<VmEntry> mChanged;
  // Names that are gone.
  std::vector<std::string> mRemoved;

  bool operator==(const VmListChange&) const = default;
};

// Puts a list into the order in which lists are compared: by name.
void
SortByName(std::vector<VmEntry>& aVms);

// Returns the SHA-256 of a sorted list; equal lists give equal digests on
// every daemon.
[[nodiscard]] std::string
DigestOf(const std::vector<VmEntry>& aVms);

// Returns what leads from one sorted list to another.
[[nodiscard]] VmListChange
ChangeBetween(const std::vector<VmEntry>& aFrom,
              const std::vector<VmEntry>& aTo);

// Returns the sorted list after the change.
[[nodiscard]] std::vector<VmEntry>
Apply(std::vector<VmEntry> aVms, const VmListChange& aChange);

// Changes as JSON, and back; reading fails with Corrupt.
[[nodiscard]] Json
ToJson(const VmListChange& aChange);
[[nodiscard]] Result<VmListChange>
ReadVmListChange(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<VmEntry>& aVms);
[[nodiscard]] Result<std::vector<VmEntry>>
ReadVmEntries(const Json& aList);

// The newest list and the changes that led to it.
class VmListHistory
{
public:
  // Notes a sorted list and its digest.
  void Add(const std::vector<VmEntry>& aVms, const std::string& aDigest);
  // Returns what leads from the list with the digest to the newest one;
  // nothing when that list is too old or was never noted.
  [[nodiscard]] std::optional<VmListChange> Since(
    const std::string& aDigest) const;

private:
  struct Step
  {
    // Digest of the list before the change.
    std::string mFrom;
    VmListChange mChange;
  };

  std::vector<VmEntry> mVms;
  std::string mDigest;
  std::deque<Step> mSteps;
};

} // namespace bilberrytrail
