#include "peer_images.h"

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("a daemon gives what is newer than the asker's copies")
{
  SiteImage image;
  const Instant now = Instant() + 1000s;
  const std::string bytes("\x00\xff{", 3);
  (void)image.Replace(
    SiteTable::Operator, { { { "config", bytes, 5, false } }, 6 }, now);
  (void)image.Replace(
    SiteTable::Servers, { { { "s1", "x", 7, false } }, 8 }, now);
  struct Row
  {
    ImageQuery mQuery;
    bool mHasOperator;
    bool mHasServers;
  };
  for (const Row& row : { Row{ { 0, 0 }, true, true },
                          Row{ { 6, 7 }, false, true },
                          Row{ { 6, 8 }, false, false },
                          Row{ { 9, 9 }, false, false } }) {
    const auto query = ReadImageQuery(ToJson(row.mQuery));
    REQUIRE(query.has_value());
    const auto reply =
      ReadImageReply(ToJson(AnswerImageQuery(query.value(), image, true)));
    REQUIRE(reply.has_value());
    CHECK(reply.value().mIsInReach);
    CHECK(reply.value().mOperator.has_value() == row.mHasOperator);
    CHECK(reply.value().mServers.has_value() == row.mHasServers);
    if (row.mHasOperator) {
      CHECK(reply.value().mOperator->mVersion == 6);
      CHECK(reply.value().mOperator->mRows.front().mValue == bytes);
    }
  }
}

TEST_CASE("malformed replies are refused")
{
  for (const char* text :
       { "{}",
         R"({"in_reach":1})",
         R"({"in_reach":true,"operator":{"version":1}})",
         R"({"in_reach":true,"operator":{"version":1,"rows":[{"key":"a"}]}})",
         R"({"in_reach":true,"servers":{"version":1,"rows":[
            {"key":"a","version":1,"value":"not base64!"}]}})" }) {
    CAPTURE(text);
    CHECK_FALSE(ReadImageReply(Json::parse(text)).has_value());
  }
}
