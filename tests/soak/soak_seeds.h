#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace bilberrytrail::soak {

// Returns the seeds that the environment names (BILBERRYTRAIL_SOAK_SEEDS of
// them from BILBERRYTRAIL_SOAK_FIRST on), or those of each run.
[[nodiscard]] std::vector<std::uint64_t>
SeedsToPlay(std::vector<std::uint64_t> aSeedsOfEachRun);

// Folder for the settings and logs of one seed; it stays if the seed failed.
class SoakFolder
{
public:
  SoakFolder(const std::string& aName, std::uint64_t aSeed);

  [[nodiscard]] const std::string& Path() const noexcept { return mPath; }
  // Removes the folder after a success, else says where it is.
  void EndWith(bool aHasPassed) const;

private:
  std::string mPath;
};

} // namespace bilberrytrail::soak
