#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>
#include <utility>

namespace bilberrytrail {

namespace {

constexpr Duration kPollPeriod = 2ms;

int
Spawn(const std::string& aProgram,
      const std::vector<std::string>& aArguments,
      const std::string& aOutputFile)
{
  std::vector<char*> arguments;
  arguments.push_back(const_cast<char*>(aProgram.c_str()));
  for (const auto& it : aArguments) {
    arguments.push_back(const_cast<char*>(it.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, 1, aOutputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  int pid = -1;
  const int rc = posix_spawn(
    &pid, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (rc != 0) {
    std::cerr << "cannot start " << aProgram << "\n";
    std::exit(EXIT_FAILURE);
  }
  return pid;
}

} // namespace

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::string& aOutputFile)
  : mPid(Spawn(aProgram, aArguments, aOutputFile))
{
}

Process::Process(Process&& aOther) noexcept
  : mPid(std::exchange(aOther.mPid, -1))
  , mStatus(aOther.mStatus)
{
}

Process::~Process()
{
  if (mPid > 0 && !Poll()) {
    Signal(SIGKILL);
    (void)Wait(10s);
  }
}

std::optional<int>
Process::Poll()
{
  if (!mStatus) {
    int status = 0;
    if (waitpid(mPid, &status, WNOHANG) == mPid) {
      mStatus =
        WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
  }
  return mStatus;
}

void
Process::Signal(int aSignal) const
{
  if (mPid > 0 && !mStatus) {
    ::kill(mPid, aSignal);
  }
}

std::optional<int>
Process::Wait(Duration aTimeout)
{
  const auto end = MonotonicNow() + aTimeout;
  while (!Poll() && MonotonicNow() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return mStatus;
}

std::optional<std::uint16_t>
AwaitPort(const std::string& aFile, Duration aTimeout)
{
  constexpr std::string_view kPrefix = "listening ";
  const auto end = MonotonicNow() + aTimeout;
  while (MonotonicNow() < end) {
    std::ifstream file(aFile);
    std::string line;
    while (std::getline(file, line)) {
      if (line.starts_with(kPrefix) && !file.eof()) {
        return static_cast<std::uint16_t>(
          std::stoi(line.substr(kPrefix.size())));
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return std::nullopt;
}

std::string
BuiltProgram(const std::string& aRelativePath)
{
  return std::string(BILBERRYTRAIL_BUILD_DIR) + "/" + aRelativePath;
}

} // namespace bilberrytrail
