#include "bounded_lines.h"

#include <doctest/doctest.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <ostream>

using namespace bilberrytrail;

namespace {

std::string
DroppedLine(std::size_t aCount)
{
  return "dropped " + std::to_string(aCount) + "\n";
}

} // namespace

TEST_CASE("lines beyond the bound are dropped whole and counted")
{
  std::string taken;
  std::size_t room = 0;
  BoundedLines lines(
    20,
    [&](const char* aText, std::size_t aCount) {
      const auto n = std::min(aCount, room);
      taken.append(aText, n);
      room -= n;
      return n;
    },
    DroppedLine);
  std::ostream out(&lines);
  for (const char* line : { "one line\n", "two line\n", "three\n", "four\n" }) {
    out << line << std::flush;
  }
  CHECK(taken.empty());
  CHECK(lines.Dropped() == 2);
  // The reader accepts some bytes, then all.
  room = 5;
  out << "five\n" << std::flush;
  CHECK(taken == "one l");
  room = 1000;
  out << "six\n" << std::flush;
  CHECK(taken == "one line\ntwo line\ndropped 3\nsix\n");
  CHECK(lines.Dropped() == 0);
}

TEST_CASE("a stalled reader does not block the writer")
{
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  BoundedLines lines(
    100000,
    [&](const char* aText, std::size_t aCount) {
      return WriteNonBlocking(ends[1], aText, aCount);
    },
    DroppedLine);
  std::ostream out(&lines);
  const std::string line(200, 'x');
  constexpr std::size_t kLines = 20000;
  for (std::size_t n = 0; n < kLines; ++n) {
    out << line << '\n' << std::flush;
  }
  CHECK(lines.Dropped() > kLines / 2);
  CHECK(lines.Dropped() < kLines);
  ::close(ends[0]);
  ::close(ends[1]);
}
