#include <bilberrytrail/base/log.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

std::string
RenderOne(std::string_view aKey, std::string_view aValue)
{
  return RenderLogLine(LogEvent::MemberDead, { { aKey, aValue } });
}

const std::string kHead = "event=1203 name=member_dead";

} // namespace

TEST_CASE("a line has the event's number, name and escaped fields")
{
  struct Row
  {
    std::string mValue;
    std::string mText;
  };
  const Row rows[] = {
    { "10.0.0.1:80", "10.0.0.1:80" },
    { "", "\"\"" },
    { "two words", "\"two words\"" },
    { "a\"b\\c", "\"a\\\"b\\\\c\"" },
    { "x\nevent=1 forged", "\"x\\nevent=1 forged\"" },
    { "\r\x1b", "\"\\x0d\\x1b\"" },
    { "\xC3\xA9", "\"\\xc3\\xa9\"" },
    { "a=b", "\"a=b\"" },
    { "%msg %datetime", "\"%msg %datetime\"" },
    { std::string(257, 'v'), std::string(256, 'v') + "..." },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mValue);
    CHECK(RenderOne("k", row.mValue) == kHead + " k=" + row.mText);
  }
}

TEST_CASE("values of several types are written")
{
  CHECK(RenderLogLine(LogEvent::MemberDead,
                      { { "n", 7 },
                        { "yes", true },
                        { "level", LogLevel::Error },
                        { "daemon", DaemonId("d1") },
                        { "release", ReleaseNumber(3) },
                        { "after", Duration(1500us) } }) ==
        kHead + " n=7 yes=true level=error daemon=d1 release=3 after=1.500ms");
}

TEST_CASE("secrets and callers' texts are withheld")
{
  struct Row
  {
    const char* mKey;
    bool mWithheld;
  };
  const Row rows[] = {
    { "token", true },          { "operator_token", true },
    { "site_key", true },       { "idempotency_key", true },
    { "prompt", true },         { "body", true },
    { "client_secret", true },  { "authorization", true },
    { "answer", true },         { "tokens", false },
    { "prompt_tokens", false }, { "monkey", false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mKey);
    const auto line = RenderOne(row.mKey, "v1");
    CHECK((line.find("v1") == std::string::npos) == row.mWithheld);
  }
}

TEST_CASE("a line is bounded and counts the fields it omits")
{
  const std::string value(256, '\n');
  const auto line = RenderLogLine(LogEvent::MemberDead,
                                  { { "a", value },
                                    { "b", value },
                                    { "c", value },
                                    { "d", value },
                                    { "e", "short" } });
  CHECK(line.size() <= kMaxLogLineBytes);
  CHECK(line.find(" e=short omitted=1") != std::string::npos);
}
