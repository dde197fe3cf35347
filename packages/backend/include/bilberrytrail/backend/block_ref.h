#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstdint>
#include <string>

namespace bilberrytrail {

// Identifies one sealed block in a store. An imported block is used only when
// its generation, length and checksum equal those of the reference.
struct BlockRef
{
  BlockId mBlock;
  Generation mGeneration;
  std::uint64_t mBytes = 0;
  std::uint64_t mChecksum = 0;

  auto operator<=>(const BlockRef&) const = default;
};

} // namespace bilberrytrail
