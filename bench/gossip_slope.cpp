// Bytes, messages, processor time and memory of a member by the number of
// members. The membership module driven by itself in virtual time; times as
// they are.

#include "gossip_simulation.h"
#include "report.h"
#include "timing.h"

namespace {

using namespace bilberrytrail;
using namespace bilberrytrail::bench;

constexpr Duration kJoinTime = 60s;
constexpr Duration kRunLength = 20s;
constexpr double kProducts = 2;
constexpr double kTargetBytesPerSecond = 3000;

struct Totals
{
  double mBytes = 0;
  double mMessages = 0;
};

Totals
Sum(GossipSimulation& aSimulation)
{
  Totals totals;
  for (const auto& [address, node] : aSimulation.Nodes()) {
    totals.mBytes += static_cast<double>(node.mBytesSent);
    totals.mMessages += static_cast<double>(node.mMessagesSent);
  }
  return totals;
}

void
Measure(std::size_t aMembers)
{
  const double heapBefore = HeapBytes();
  GossipSimulation simulation(5);
  simulation.AddAll(aMembers);
  for (int n = 0; n < kProducts; ++n) {
    simulation.At(0).mGossip.RaiseNumber("release/product-" + std::to_string(n),
                                         4);
  }
  simulation.Run(kJoinTime);
  const auto before = Sum(simulation);
  const double start = ProcessorMicros();
  simulation.Run(kRunLength);
  const double micros = ProcessorMicros() - start;
  const auto after = Sum(simulation);
  const auto members = static_cast<double>(aMembers);
  const double scale = 1000 / (ToMillis(kRunLength) * members);
  const double bytes = (after.mBytes - before.mBytes) * scale;
  const double messages = (after.mMessages - before.mMessages) * scale;
  const double memory = (HeapBytes() - heapBefore) / members;
  const std::string size = std::to_string(aMembers);
  Print({ "membership at " + size + " members",
          "both",
          Format(bytes, 0, " B/s, ") + Format(messages, 2, " messages/s, ") +
            Format(micros * scale, 0, " us/s, ") +
            Format(memory / 1000, 1, " kB"),
          "<= 3000 B/s",
          AtMost(bytes, kTargetBytesPerSecond) });
  const std::string section = "gossip_" + size;
  PrintSlope(section, "bytes_per_second", bytes);
  PrintSlope(section, "messages_per_second", messages);
  PrintSlope(section, "micros_per_second", micros * scale);
  PrintSlope(section, "memory_bytes", memory);
}

} // namespace

int
main()
{
  for (const std::size_t members : { 8UL, 32UL, 128UL, 400UL }) {
    Measure(members);
  }
  return 0;
}
