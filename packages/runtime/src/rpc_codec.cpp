#include "rpc_codec.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace bilberrytrail {
namespace rpc_codec {

namespace {

constexpr int kTransportFailed = -32000;
constexpr const char* kMethodName = "call";

std::string
ToText(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

bool
FromText(const std::string& aText, Json::Value& aValue)
{
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string errors;
  return reader->parse(
    aText.data(), aText.data() + aText.size(), &aValue, &errors);
}

class Connector final : public jsonrpc::IClientConnector
{
public:
  explicit Connector(const Transport& aTransport)
    : mTransport(aTransport)
  {
  }

  void SendRPCMessage(const std::string& aMessage, std::string& aResult) throw(
    jsonrpc::JsonRpcException) override
  {
    aResult = mTransport(aMessage);
    if (aResult.empty()) {
      throw jsonrpc::JsonRpcException(kTransportFailed, "transport failed");
    }
  }

private:
  const Transport& mTransport;
};

// Forwards invocations of the only registered procedure, "call", to aMethod.
// The method's name and parameters are parameters of that procedure.
class Invoker final : public jsonrpc::IProcedureInvokationHandler
{
public:
  explicit Invoker(const Method& aMethod)
    : mMethod(aMethod)
  {
  }

  void HandleMethodCall(jsonrpc::Procedure& /*aProcedure*/,
                        const Json::Value& aInput,
                        Json::Value& aOutput) override
  {
    const Reply reply =
      mMethod(aInput["method"].asString(), ToText(aInput["params"]));
    if (!reply.mSucceeded) {
      throw jsonrpc::JsonRpcException(reply.mErrorCode, reply.mText);
    }
    if (!FromText(reply.mText, aOutput)) {
      throw jsonrpc::JsonRpcException(kTransportFailed, "result not readable");
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*aProcedure*/,
                              const Json::Value& /*aInput*/) override
  {
  }

private:
  const Method& mMethod;
};

} // namespace

Reply
Call(const std::string& aName,
     const std::string& aParams,
     const Transport& aTransport)
{
  Connector connector(aTransport);
  jsonrpc::Client client(connector);
  Json::Value input;
  input["method"] = aName;
  Reply reply;
  if (!FromText(aParams, input["params"])) {
    reply.mErrorCode = kTransportFailed;
    reply.mText = "parameters not readable";
    return reply;
  }
  try {
    reply.mText = ToText(client.CallMethod(kMethodName, input));
    reply.mSucceeded = true;
  } catch (const jsonrpc::JsonRpcException& e) {
    reply.mErrorCode = e.GetCode();
    reply.mText = e.GetMessage();
  } catch (const std::exception& e) {
    reply.mErrorCode = kTransportFailed;
    reply.mText = e.what();
  }
  return reply;
}

std::string
Serve(const std::string& aRequest, const Method& aMethod)
{
  Invoker invoker(aMethod);
  const std::unique_ptr<jsonrpc::IProtocolHandler> handler(
    jsonrpc::RequestHandlerFactory::createProtocolHandler(
      jsonrpc::JSONRPC_SERVER_V2, invoker));
  handler->AddProcedure(jsonrpc::Procedure(kMethodName,
                                           jsonrpc::PARAMS_BY_NAME,
                                           jsonrpc::JSON_OBJECT,
                                           "method",
                                           jsonrpc::JSON_STRING,
                                           "params",
                                           jsonrpc::JSON_OBJECT,
                                           NULL));
  std::string response;
  try {
    handler->HandleRequest(aRequest, response);
  } catch (const std::exception& e) {
    return std::string();
  }
  return response;
}

} // namespace rpc_codec
} // namespace bilberrytrail
