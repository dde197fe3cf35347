#pragma once

#include <functional>
#include <string>

// Wrapper of libjsonrpccpp, whose headers need C++14. This header uses only
// C++14, and rpc_codec.cpp is compiled as C++14.
namespace bilberrytrail {
namespace rpc_codec {

// Outcome of one call. The text is the result as JSON, or the error message.
struct Reply
{
  bool mSucceeded = false;
  int mErrorCode = 0;
  std::string mText;
};

// Sends a request text and returns the response text, which is empty on a
// transport failure.
using Transport = std::function<std::string(const std::string&)>;

// Runs a method with its parameters as JSON text.
using Method =
  std::function<Reply(const std::string& aName, const std::string& aParams)>;

// Makes one call over the transport.
Reply
Call(const std::string& aName,
     const std::string& aParams,
     const Transport& aTransport);

// Handles one request text and returns the response text.
std::string
Serve(const std::string& aRequest, const Method& aMethod);

} // namespace rpc_codec
} // namespace bilberrytrail
