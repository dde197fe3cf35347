#pragma once

#include <cstddef>
#include <functional>
#include <streambuf>
#include <string>

namespace bilberrytrail {

// Keeps log lines that their reader does not take yet, up to a bound, and
// drops whole lines beyond it, so that a reader that stalls delays nobody.
// Dropped lines are counted and told in a line once there is room again.
//
//   BoundedLines lines(kMaxBytes, write, renderDropped);
//   std::ostream out(&lines);
//   out << line << std::flush;
class BoundedLines final : public std::streambuf
{
public:
  // Takes some of the bytes, up to all of them, without waiting; returns how
  // many were taken.
  using Write = std::function<std::size_t(const char*, std::size_t)>;
  // Returns the line, with its end, that tells how many were dropped.
  using RenderDropped = std::function<std::string(std::size_t)>;

  BoundedLines(std::size_t aMaxBytes, Write aWrite, RenderDropped aRender);

  [[nodiscard]] std::size_t Dropped() const noexcept { return mDropped; }

protected:
  int_type overflow(int_type aChar) override;
  std::streamsize xsputn(const char* aText, std::streamsize aCount) override;
  int sync() override;

private:
  void AddLine();
  void WriteOut();

  const std::size_t mMaxBytes;
  const Write mWrite;
  const RenderDropped mRender;
  // The line that is being written.
  std::string mLine;
  // Lines not taken yet.
  std::string mWaiting;
  std::size_t mDropped = 0;
};

// Writes to a file descriptor as much as it takes without waiting.
[[nodiscard]] std::size_t
WriteWithoutWaiting(int aHandle, const char* aText, std::size_t aCount);

} // namespace bilberrytrail
