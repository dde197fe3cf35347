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
