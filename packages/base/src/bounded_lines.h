#pragma once

#include <cstddef>
#include <functional>
#include <streambuf>
#include <string>

namespace bilberrytrail {

// Buffers log lines up to a bound and drops whole lines beyond it, so that a
// stalled reader does not block the writers. Dropped lines are counted, and a
// line with their number is written once the buffer has drained.
//
//   BoundedLines lines(kMaxBytes, write, renderDropped);
//   std::ostream out(&lines);
//   out << line << std::flush;
class BoundedLines final : public std::streambuf
{
public:
  // Writes as many of the bytes as possible without blocking; returns how
  // many were written.
  using Write = std::function<std::size_t(const char*, std::size_t)>;
  // Returns the line, with its line end, that states the number of dropped
  // lines.
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
  // The line that is being composed.
  std::string mLine;
  // Complete lines that are not written yet.
  std::string mPending;
  std::size_t mDropped = 0;
};

// Writes as much to a file descriptor as it accepts without blocking, at most
// PIPE_BUF bytes; returns the number of bytes written.
[[nodiscard]] std::size_t
WriteNonBlocking(int aHandle, const char* aText, std::size_t aCount);

} // namespace bilberrytrail
