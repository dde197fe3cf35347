#pragma once

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/random.h>

#include <cstdint>
#include <string>

namespace bilberrytrail::standins {

// Returns the KV cache bytes of a block, a function of its id, so that the
// bytes of another block are noticed.
[[nodiscard]] inline std::string
KvContent(BlockId aBlock, std::uint64_t aBytes)
{
  Random random(aBlock.Value());
  std::string content(aBytes, '\0');
  for (auto& c : content) {
    c = static_cast<char>(random.Next() & 255U);
  }
  return content;
}

// Returns the checksum that engine and store compute over a block's bytes.
[[nodiscard]] inline std::uint64_t
KvChecksum(const std::string& aContent)
{
  return StableHash64(aContent);
}

} // namespace bilberrytrail::standins
