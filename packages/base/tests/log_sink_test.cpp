#include <bilberrytrail/base/log.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>

using namespace bilberrytrail;

namespace {

std::vector<std::string>
ReadLines(const std::filesystem::path& aPath)
{
  std::ifstream in(aPath);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) {
    lines.push_back(line);
  }
  return lines;
}

std::filesystem::path
TemporaryLog()
{
  return std::filesystem::temp_directory_path() /
         ("bilberrytrail_log_" + std::to_string(getpid()) + ".txt");
}

} // namespace

TEST_CASE("threads write whole lines at or above the level")
{
  constexpr int kThreads = 4;
  constexpr int kLinesPerThread = 200;
  const auto path = TemporaryLog();
  REQUIRE(OpenLog({ LogLevel::Warning, path.string() }).has_value());
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([] {
      for (int n = 0; n < kLinesPerThread; ++n) {
        LogLine(LogEvent::MemberDead, { { "text", "%msg 100%" } });
        LogLine(LogEvent::MemberJoined);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  REQUIRE(OpenLog({}).has_value());
  const auto lines = ReadLines(path);
  std::filesystem::remove(path);
  CHECK(lines.size() == kThreads * kLinesPerThread);
  for (const auto& line : lines) {
    CHECK(line.ends_with(
      " WARNING event=1203 name=member_dead text=\"%msg 100%\""));
  }
}

TEST_CASE("a log file that cannot be opened is an error")
{
  const auto result = OpenLog({ LogLevel::Info, "/nonexistent/folder/log" });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mMessage ==
        "cannot append to log file /nonexistent/folder/log");
}
