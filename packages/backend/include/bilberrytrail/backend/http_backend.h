#pragma once

#include <bilberrytrail/backend/engine.h>
#include <bilberrytrail/backend/plain_service.h>
#include <bilberrytrail/backend/store.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/runtime/fwd.h>

#include <memory>

// Adapters for backend servers over HTTP. An adapter translates each call into
// one HTTP exchange; it keeps no state and does not retry. The client must
// outlive the adapter and the streams that it opens. Calls are made on fibers
// of the client's loop.
namespace bilberrytrail {

// Returns an adapter for the engine at the endpoint.
[[nodiscard]] std::unique_ptr<Engine>
MakeHttpEngine(HttpClient& aClient, Endpoint aEndpoint);

// Returns an adapter for the store VM at the endpoint.
[[nodiscard]] std::unique_ptr<Store>
MakeHttpStore(HttpClient& aClient, Endpoint aEndpoint);

// Returns an adapter for the plain service at the endpoint. Every status from
// 200 on except 500, 502, 503 and 504 is passed on as the service's response,
// 4xx included. 500 is Failed, 503 with the header Not-Run: true is NotRun;
// 502, 504 and any other 503 are Unknown.
[[nodiscard]] std::unique_ptr<PlainService>
MakeHttpPlainService(HttpClient& aClient, Endpoint aEndpoint);

} // namespace bilberrytrail
