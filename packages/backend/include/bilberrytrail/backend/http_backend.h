#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/backend/plain_service.h>
#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/fwd.h>

#include <memory>

// Backend servers over HTTP. An adapter translates one call into one exchange
// and nothing else: it keeps nothing, retries nothing and decides nothing.
// The client must outlive the adapter and the streams that it opens; calls
// are made on fibers of the client's loop.
namespace bilberrytrail {

// Returns the engine at the endpoint.
[[nodiscard]] std::unique_ptr<Engine>
MakeHttpEngine(HttpClient& aClient, Endpoint aEndpoint);

// Returns the store VM at the endpoint.
[[nodiscard]] std::unique_ptr<Store>
MakeHttpStore(HttpClient& aClient, Endpoint aEndpoint);

// Returns the plain service at the endpoint. Every status but 500, 502, 503
// and 504 is the service's own answer, 4xx included: 500 is Failed, 503 with
// Not-Run is NotRun, and the others are Unknown.
[[nodiscard]] std::unique_ptr<PlainService>
MakeHttpPlainService(HttpClient& aClient, Endpoint aEndpoint);

} // namespace bilberrytrail
