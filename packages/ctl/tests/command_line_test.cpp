#include <bilberrytrail/ctl/command_line.h>

#include <doctest/doctest.h>

#include <vector>

using namespace bilberrytrail;

TEST_CASE("commands and options are parsed in any order")
{
  struct Row
  {
    std::vector<std::string> mArguments;
    Command mCommand;
    std::string mArgument;
    bool mJson;
  };
  const Row rows[] = {
    { { "status" }, Command::Status, "", false },
    { { "--json", "status" }, Command::Status, "", true },
    { { "release", "apply", "note.ini" },
      Command::ReleaseApply,
      "note.ini",
      false },
    { { "release", "-j", "log", "guides" },
      Command::ReleaseLog,
      "guides",
      true },
    { { "drain", "server", "engine-1" },
      Command::DrainServer,
      "engine-1",
      false },
    { { "settings", "check", "--", "-odd.ini" },
      Command::SettingsCheck,
      "-odd.ini",
      false },
  };
  for (const auto& row : rows) {
    CAPTURE(row.mArgument);
    const auto line = ParseCommandLine(row.mArguments);
    REQUIRE(line.has_value());
    CHECK(line.value().mCommand == row.mCommand);
    CHECK(line.value().mArgument == row.mArgument);
    CHECK(line.value().mJson == row.mJson);
  }
}

TEST_CASE("option values are stored in the command line")
{
  const auto parsed = ParseCommandLine({ "histograms",
                                         "--daemon=127.0.0.1:9",
                                         "--account",
                                         "a",
                                         "--class",
                                         "c",
                                         "--timeout",
                                         "3",
                                         "--token-file",
                                         "f" });
  REQUIRE(parsed.has_value());
  const auto& line = parsed.value();
  CHECK(line.mDaemon == Endpoint{ "127.0.0.1", 9 });
  CHECK(line.mAccount == "a");
  CHECK(line.mClass == "c");
  CHECK(line.mTimeout == Duration(3s));
  CHECK(line.mTokenFile == "f");
}

TEST_CASE("invalid command lines are rejected with InvalidInput")
{
  const std::vector<std::string> rows[] = {
    {},
    { "statsu" },
    { "release" },
    { "release", "apply" },
    { "release", "apply", "a", "b" },
    { "status", "more" },
    { "status", "--daemon", "nowhere" },
    { "status", "--daemon", "127.0.0.1:0" },
    { "status", "--timeout", "0" },
    { "status", "--timeout", "1h" },
    { "release", "show", "guides", "--number", "-1" },
    { "status", "--token", "secret" },
    { "status", "--daemon" },
  };
  for (const auto& row : rows) {
    CAPTURE(row.size());
    const auto line = ParseCommandLine(row);
    REQUIRE_FALSE(line.has_value());
    CHECK(line.error().mCode == ErrorCode::InvalidInput);
  }
}

TEST_CASE("every command accepts --help and has its own help text")
{
  CHECK(ParseCommandLine({ "--help" }).value().mHelp);
  for (const auto command : AllOf<Command>()) {
    CAPTURE(ToName(command));
    std::vector<std::string> words;
    const std::string name(ToName(command));
    const auto space = name.find(' ');
    words.push_back(name.substr(0, space));
    if (space != std::string::npos) {
      words.push_back(name.substr(space + 1));
    }
    words.emplace_back("--help");
    const auto line = ParseCommandLine(words);
    REQUIRE(line.has_value());
    CHECK(line.value().mHelp);
    CHECK(line.value().mCommand == command);
    CHECK(RenderHelp(command).starts_with("usage: bilberryctl " + name));
    CHECK(RenderHelp(std::nullopt).find("  " + name) != std::string::npos);
  }
}
