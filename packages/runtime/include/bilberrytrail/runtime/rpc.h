#pragma once

#include <bilberrytrail/base/error.h>

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace bilberrytrail {

// Parameters and results of calls between daemons.
using Json = nlohmann::json;

// Sends the text of a request to a daemon and returns the response text.
using RpcTransport = std::function<Result<std::string>(const std::string&)>;

// Makes a JSON-RPC 2.0 call over the transport. Fails with the transport's
// error, or with the error that the method returned.
//
//   auto result = CallRpc("queue.estimate", { { "server", name } }, transport);
[[nodiscard]] Result<Json>
CallRpc(const std::string& aMethod,
        const Json& aParams,
        const RpcTransport& aTransport);

// The JSON-RPC methods that a daemon provides to other daemons. Parameters and
// results are JSON objects.
class RpcMethods
{
public:
  using Method = std::function<Result<Json>(const Json& aParams)>;

  // Handles one request text and returns the response text. An unknown method,
  // a malformed request and a failed method result in a JSON-RPC error.
  [[nodiscard]] std::string Serve(const std::string& aRequest) const;

  // Adds a method, or replaces the one with the same name.
  void Add(const std::string& aName, Method aMethod);

private:
  std::map<std::string, Method, std::less<>> mMethods;
};

} // namespace bilberrytrail
