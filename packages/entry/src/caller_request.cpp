#include <bilberrytrail/entry/caller_request.h>

namespace bilberrytrail {

std::uint64_t
Prompt::SharedTokens() const noexcept
{
  std::uint64_t tokens = 0;
  for (std::size_t n = 0; n + 1 < mParts.size(); ++n) {
    tokens += mParts[n].mTokens;
  }
  return tokens;
}

} // namespace bilberrytrail
