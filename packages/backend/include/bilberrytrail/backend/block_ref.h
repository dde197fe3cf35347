#pragma once

#include <bilberrytrail/base/ids.h>

#include <cstdint>
#include <string>

namespace bilberrytrail {

// One sealed block in a store: an import must come back with the same
// generation, length and checksum, else it is not used.
struct BlockRef
{
  BlockId mBlock;
  Generation mGeneration;
  std::uint64_t mBytes = 0;
  std::uint64_t mChecksum = 0;

  auto operator<=>(const BlockRef&) const = default;
};

} // namespace bilberrytrail
