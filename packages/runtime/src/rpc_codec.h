#pragma once

#include <functional>
#include <string>

// Boundary to libjsonrpccpp, whose headers need C++14: this header keeps to
// that standard, and the sources behind it are compiled with it.
namespace bilberrytrail {
namespace rpc_codec {

// Outcome of one call: the result as JSON text, or an error.
struct Reply
{
  bool mDone = false;
  int mErrorCode = 0;
  std::string mText;
};

// Carries a request text and returns the response text; an empty text stands
// for a transport failure.
using Transport = std::function<std::string(const std::string&)>;

// Runs a method with parameters as JSON text.
using Method =
  std::function<Reply(const std::string& aName, const std::string& aParams)>;

// Makes one call over the transport.
Reply
Call(const std::string& aName,
     const std::string& aParams,
     const Transport& aTransport);

// Answers one request text.
std::string
Serve(const std::string& aRequest, const Method& aMethod);

} // namespace rpc_codec
} // namespace bilberrytrail
