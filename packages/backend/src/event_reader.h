#pragma once

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_client.h>

#include <optional>

namespace bilberrytrail {

// Reads the JSON values of a stream of server-sent events ("data: {json}"
// lines). Lines of other fields, comments and blank lines are skipped.
class EventReader
{
public:
  explicit EventReader(HttpStream aStream);

  // Waits for the next value; returns nullopt when the response ended cleanly.
  // Fails with Timeout, with Unavailable, or with Corrupt when a data line is
  // not JSON.
  [[nodiscard]] Result<std::optional<Json>> Next(Duration aTimeout);

private:
  HttpStream mStream;
};

} // namespace bilberrytrail
