#include <bilberrytrail/runtime/rpc.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

RpcMethods
TestMethods()
{
  RpcMethods methods;
  methods.Add("add", [](const Json& aParams) -> Result<Json> {
    return Json{ { "sum", aParams.value("a", 0) + aParams.value("b", 0) } };
  });
  methods.Add("fail", [](const Json&) -> Result<Json> {
    return Fail(ErrorCode::Exhausted, "no space");
  });
  return methods;
}

} // namespace

TEST_CASE("a call returns the method's result or its error")
{
  const RpcMethods methods = TestMethods();
  const RpcTransport transport =
    [&](const std::string& aRequest) -> Result<std::string> {
    return methods.Serve(aRequest);
  };
  const auto sum = CallRpc("add", { { "a", 2 }, { "b", 40 } }, transport);
  REQUIRE(sum.has_value());
  CHECK(sum.value()["sum"] == 42);
  const auto failed = CallRpc("fail", Json::object(), transport);
  REQUIRE_FALSE(failed.has_value());
  CHECK(failed.error().mCode == ErrorCode::Exhausted);
  CHECK(CallRpc("none", Json::object(), transport).error().mCode ==
        ErrorCode::NotFound);
}

TEST_CASE("a call returns the error of its transport")
{
  const auto result = CallRpc(
    "add", Json::object(), [](const std::string&) -> Result<std::string> {
      return Fail(ErrorCode::Timeout, "too late");
    });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mCode == ErrorCode::Timeout);
}

// Guards against texts from a peer whose nesting overflows the stack of a
// fiber.
TEST_CASE("texts that are nested too deep are rejected on both sides")
{
  bool isCalled = false;
  RpcMethods methods;
  methods.Add("any", [&](const Json&) -> Result<Json> {
    isCalled = true;
    return Json::object();
  });
  const std::string deep = std::string(900, '[') + std::string(900, ']');
  CHECK(methods
          .Serve(R"({"jsonrpc":"2.0","id":1,"method":"call","params":)"
                 R"({"method":"any","params":{"a":)" +
                 deep + "}}}")
          .empty());
  CHECK_FALSE(isCalled);
  const auto result = CallRpc(
    "any", Json::object(), [&](const std::string&) -> Result<std::string> {
      return R"({"jsonrpc":"2.0","id":1,"result":)" + deep + "}";
    });
  REQUIRE_FALSE(result.has_value());
  CHECK(result.error().mCode == ErrorCode::TooLarge);
}

TEST_CASE("malformed requests do not get a result")
{
  const RpcMethods methods = TestMethods();
  for (const char* text :
       { "", "{", "[]", "null", "{\"jsonrpc\":\"2.0\"}", "\xff\xfe", "[[[[" }) {
    CAPTURE(text);
    const std::string response = methods.Serve(text);
    CHECK(response.find("\"result\":{") == std::string::npos);
  }
}
