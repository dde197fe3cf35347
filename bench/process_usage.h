#pragma once

#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <string>

namespace bilberrytrail::bench {

// Processor time, memory and thread wake-ups of a process.
struct ProcessUsage
{
  Duration mProcessor{};
  double mResidentBytes = 0;
  // Times that its threads have waited and gone on.
  double mWakeUps = 0;
};

// Reads the usage of a process that belongs to this user.
[[nodiscard]] ProcessUsage
ReadUsage(int aPid);

// Counts the bytes of the TCP connections of a process. Sampled several times
// a second, since a connection that has gone is counted up to the last sample.
class TcpByteCounter
{
public:
  explicit TcpByteCounter(int aPid)
    : mPid(aPid)
  {
  }

  // Bytes sent since the first sample, without headers of TCP and IP.
  [[nodiscard]] double SentBytes() const;
  // Bytes received since the first sample.
  [[nodiscard]] double ReceivedBytes() const;

  void Sample();

private:
  struct Connection
  {
    std::uint64_t mSentBefore = 0;
    std::uint64_t mReceivedBefore = 0;
    std::uint64_t mSent = 0;
    std::uint64_t mReceived = 0;
  };

  int mPid;
  bool mHasSample = false;
  std::map<std::uint64_t, Connection> mConnections;
};

} // namespace bilberrytrail::bench
