#include "bounded_lines.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <utility>

namespace bilberrytrail {

BoundedLines::BoundedLines(std::size_t aMaxBytes,
                           Write aWrite,
                           RenderDropped aRender)
  : mMaxBytes(aMaxBytes)
  , mWrite(std::move(aWrite))
  , mRender(std::move(aRender))
{
}

void
BoundedLines::AddLine()
{
  if (mDropped > 0 && mPending.empty()) {
    mPending += mRender(std::exchange(mDropped, 0));
  }
  if (mPending.size() + mLine.size() > mMaxBytes || mDropped > 0) {
    ++mDropped;
  } else {
    mPending += mLine;
  }
  mLine.clear();
}

BoundedLines::int_type
BoundedLines::overflow(int_type aChar)
{
  if (aChar != traits_type::eof()) {
    mLine += traits_type::to_char_type(aChar);
  }
  return traits_type::not_eof(aChar);
}

std::streamsize
BoundedLines::xsputn(const char* aText, std::streamsize aCount)
{
  mLine.append(aText, static_cast<std::size_t>(aCount));
  return aCount;
}

int
BoundedLines::sync()
{
  WriteOut();
  if (!mLine.empty()) {
    AddLine();
    WriteOut();
  }
  return 0;
}

void
BoundedLines::WriteOut()
{
  std::size_t done = 0;
  while (done < mPending.size()) {
    const auto n = mWrite(mPending.data() + done, mPending.size() - done);
    if (n == 0) {
      break;
    }
    done += n;
  }
  mPending.erase(0, done);
}

// A pipe that is ready accepts PIPE_BUF bytes without blocking.
std::size_t
WriteNonBlocking(int aHandle, const char* aText, std::size_t aCount)
{
  pollfd handle{ aHandle, POLLOUT, 0 };
  if (::poll(&handle, 1, 0) <= 0 || (handle.revents & POLLOUT) == 0) {
    return 0;
  }
  const auto n =
    ::write(aHandle, aText, std::min<std::size_t>(aCount, PIPE_BUF));
  return n > 0 ? static_cast<std::size_t>(n) : 0;
}

} // namespace bilberrytrail
