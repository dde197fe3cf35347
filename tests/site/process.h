#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// A child process of a test, ended by its id when the object goes.
class Process
{
public:
  // Starts the program with the arguments; its output goes to the file.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aOutputFile);
  ~Process();
  Process(Process&& aOther) noexcept;
  Process& operator=(Process&&) = delete;

  [[nodiscard]] int Pid() const noexcept { return mPid; }
  // Returns the exit status once the process has ended.
  [[nodiscard]] std::optional<int> Poll();

  // Sends a signal such as SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void Signal(int aSignal) const;
  // Waits for the end; returns the exit status, or nothing after the time.
  [[nodiscard]] std::optional<int> Wait(Duration aTimeout);

private:
  int mPid = -1;
  std::optional<int> mStatus;
};

// Waits until the file has a line "listening PORT" and returns the port.
[[nodiscard]] std::optional<std::uint16_t>
AwaitPort(const std::string& aFile, Duration aTimeout);

// Returns the path of a program of the build tree.
[[nodiscard]] std::string
BuiltProgram(const std::string& aRelativePath);

} // namespace bilberrytrail
