#pragma once

#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/platform/object_store.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/platform/vm_list.h>
#include <bilberrytrail/runtime/fwd.h>

#include <memory>

// Adapters for the platform's HTTP services. An adapter translates each call
// into one HTTP exchange; it holds no state, makes no retries and takes
// no decisions.
// The client must outlive the adapter; calls are made on fibers of its loop.
namespace bilberrytrail {

// Returns the table service at the endpoint.
[[nodiscard]] std::unique_ptr<TableService>
MakeHttpTableService(HttpClient& aClient, Endpoint aEndpoint);

// Returns the object store at the endpoint.
[[nodiscard]] std::unique_ptr<ObjectStore>
MakeHttpObjectStore(HttpClient& aClient, Endpoint aEndpoint);

// Returns the VM list at the endpoint.
[[nodiscard]] std::unique_ptr<VmList>
MakeHttpVmList(HttpClient& aClient, Endpoint aEndpoint);

} // namespace bilberrytrail
