#pragma once

#include "request_context.h"

#include <bilberrytrail/settings/daemon_settings.h>

#include <memory>
#include <string>

namespace bilberrytrail {

// Records each admitted request as a line of JSON, in the form of the traces
// that the tests replay. Accounts, prompts and idempotency keys are hashed
// under the site's key; no text of a caller is written. Used on one thread.
class TraceRecorder
{
public:
  // Writes to the file of [trace] file; records nothing when it is not set.
  explicit TraceRecorder(const DaemonSettings& aSettings);
  ~TraceRecorder();
  TraceRecorder(const TraceRecorder&) = delete;
  TraceRecorder& operator=(const TraceRecorder&) = delete;

  // Records a request that has passed the filters before its dispatch.
  void Record(const RequestContext& aContext);

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

// Returns the line that is recorded for a request, without its newline. aAt
// is the time since the recording began.
[[nodiscard]] std::string
RenderTraceLine(const RequestContext& aContext,
                const DaemonSettings& aSettings,
                Duration aAt);

// Returns a filter that records and never refuses.
[[nodiscard]] std::unique_ptr<RequestFilter>
MakeTraceFilter(const DaemonSettings& aSettings);

} // namespace bilberrytrail
