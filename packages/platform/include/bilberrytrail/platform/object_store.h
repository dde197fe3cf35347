#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/time.h>

#include <optional>
#include <string>

namespace bilberrytrail {

// The platform's object store, for values too large for a table row.
class ObjectStore
{
public:
  virtual ~ObjectStore() = default;

  // Reads an object; std::nullopt when it does not exist.
  [[nodiscard]] virtual CallResult<std::optional<std::string>> Get(
    const std::string& aKey,
    Duration aTimeout) = 0;
  // Writes an object, replacing any previous content.
  [[nodiscard]] virtual CallResult<void> Put(const std::string& aKey,
                                             const std::string& aBody,
                                             Duration aTimeout) = 0;
};

} // namespace bilberrytrail
