#pragma once

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>

#include <optional>

namespace bilberrytrail {

// Reads the JSON values of a stream of server-sent events ("data: {json}"
// lines). Other lines are skipped.
class EventReader
{
public:
  explicit EventReader(HttpStream aStream);

  // Waits for the next value; nothing at the clean end of the response. Fails
  // with Timeout, Unavailable, or Corrupt when a line is not JSON.
  [[nodiscard]] Result<std::optional<Json>> Next(Duration aTimeout);

private:
  HttpStream mStream;
};

} // namespace bilberrytrail
