#pragma once

#include "peer_directory.h"

#include <bilberrytrail/runtime/http_client.h>
#include <bilberrytrail/runtime/rpc.h>

#include <string_view>

namespace bilberrytrail {

// Calls a method of another daemon. Fails with the transport's error, or with
// the error that the method returned.
[[nodiscard]] Result<Json>
CallPeer(HttpClient& aClient,
         const PeerAddress& aPeer,
         std::string_view aMethod,
         const Json& aParams,
         Duration aTimeout);

} // namespace bilberrytrail
