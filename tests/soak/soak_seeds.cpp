#include "soak_seeds.h"

#include <doctest/doctest.h>

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <numeric>

namespace bilberrytrail::soak {

namespace {

std::uint64_t
FromEnvironment(const char* aName)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

} // namespace

std::vector<std::uint64_t>
SeedsToPlay(std::vector<std::uint64_t> aSeedsOfEachRun)
{
  const auto first = FromEnvironment("BILBERRYTRAIL_SOAK_FIRST");
  const auto count = FromEnvironment("BILBERRYTRAIL_SOAK_SEEDS");
  if (count == 0) {
    return aSeedsOfEachRun;
  }
  std::vector<std::uint64_t> seeds(count);
  std::iota(seeds.begin(), seeds.end(), first);
  return seeds;
}

SoakFolder::SoakFolder(const std::string& aName, std::uint64_t aSeed)
  : mPath((std::filesystem::temp_directory_path() /
           ("bilberrytrail-" + aName + "-" + std::to_string(::getpid()) + "-" +
            std::to_string(aSeed)))
            .string())
{
  std::filesystem::create_directories(mPath);
}

void
SoakFolder::EndWith(bool aHasPassed) const
{
  if (aHasPassed) {
    std::filesystem::remove_all(mPath);
  } else {
    MESSAGE("settings and logs are in " << mPath);
  }
}

} // namespace bilberrytrail::soak
