#pragma once

#include "peer_directory.h"
#include "peer_transport.h"

#include <bilberrytrail/runtime/rpc.h>

#include <string_view>

namespace bilberrytrail {

// Path of the RPC methods of daemons.
inline constexpr const char* kRpcPath = "/rpc";

// Calls a method of another daemon. Fails with the transport's error, or with
// the error that the method returned.
[[nodiscard]] Result<Json>
CallPeer(PeerTransport& aTransport,
         const PeerAddress& aPeer,
         std::string_view aMethod,
         const Json& aParams,
         Duration aTimeout);

} // namespace bilberrytrail
