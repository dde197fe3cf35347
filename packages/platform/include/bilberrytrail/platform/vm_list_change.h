#pragma once

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/platform/vm_list.h>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// The difference between two lists of VMs.
struct VmListChange
{
  // Entries that were added or modified.
  std::vector<VmEntry> mChanged;
  // Names of removed entries.
  std::vector<std::string> mRemoved;

  bool operator==(const VmListChange&) const = default;
};

// Sorts a list by name, as the comparison of lists requires.
void
SortByName(std::vector<VmEntry>& aVms);

// Returns the SHA-256 of a sorted list; equal lists give equal digests on
// every daemon.
[[nodiscard]] std::string
DigestOf(const std::vector<VmEntry>& aVms);

// Returns the change from one sorted list to another.
[[nodiscard]] VmListChange
ChangeBetween(const std::vector<VmEntry>& aFrom,
              const std::vector<VmEntry>& aTo);

// Returns the sorted list after the change.
[[nodiscard]] std::vector<VmEntry>
Apply(std::vector<VmEntry> aVms, const VmListChange& aChange);

// JSON forms of changes and lists; reading fails with Corrupt.
[[nodiscard]] Json
ToJson(const VmListChange& aChange);
[[nodiscard]] Result<VmListChange>
ReadVmListChange(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<VmEntry>& aVms);
[[nodiscard]] Result<std::vector<VmEntry>>
ReadVmEntries(const Json& aList);

// The newest list and the most recent changes that led to it.
class VmListHistory
{
public:
  // Adds a sorted list and its digest as the newest one.
  void Add(const std::vector<VmEntry>& aVms, const std::string& aDigest);
  // Returns the change from the list with the digest to the newest one;
  // std::nullopt when that list is too old or was never added.
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
