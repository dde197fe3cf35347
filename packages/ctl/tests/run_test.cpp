#include <bilberrytrail/ctl/run.h>

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "fake_transport.h"

using namespace bilberrytrail;

namespace {

CommandLine
MakeLine(Command aCommand, std::string aArgument = "")
{
  CommandLine line;
  line.mCommand = aCommand;
  line.mArgument = std::move(aArgument);
  return line;
}

// A file in the temporary directory, removed by the destructor.
class TemporaryFile
{
public:
  explicit TemporaryFile(const std::string& aText)
    : mPath(std::filesystem::temp_directory_path() /
            ("bilberrytrail_ctl_" + std::to_string(getpid()) + ".ini"))
  {
    std::ofstream(mPath) << aText;
  }
  ~TemporaryFile() { std::filesystem::remove(mPath); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  [[nodiscard]] std::string Path() const { return mPath.string(); }

private:
  std::filesystem::path mPath;
};

constexpr const char* kNote = "[release]\n"
                              "product = guides\n"
                              "against = 4\n"
                              "[withdraw]\n"
                              "accounts = fitting\n";

} // namespace

TEST_CASE("each request outcome maps to its exit status")
{
  struct Row
  {
    FakeTransport::Answer mAnswer;
    ExitStatus mStatus;
  };
  const Row rows[] = {
    { Answered(200, R"({"draining":true})"), ExitStatus::Done },
    { Answered(400, "{}"), ExitStatus::Failed },
    { Answered(409, "{}"), ExitStatus::Conflict },
    { Answered(422, "{}"), ExitStatus::Invalid },
    { Answered(503, R"({"disposition":"not_run"})"), ExitStatus::NotRun },
    { Answered(503, "{}"), ExitStatus::Unknown },
    { Answered(401, "{}"), ExitStatus::Unauthorized },
    { Answered(404, "{}"), ExitStatus::NotFound },
    { NoAnswer(SendState::NotSent), ExitStatus::NotRun },
    { NoAnswer(SendState::MaybeSent), ExitStatus::Unknown },
  };
  for (const auto& row : rows) {
    CAPTURE(ToName(row.mStatus));
    FakeTransport transport({ row.mAnswer });
    OperatorApi api(transport, "t");
    const auto output = RunRemote(MakeLine(Command::DrainServer, "s"), api);
    CHECK(ToName(output.mStatus) == ToName(row.mStatus));
    CHECK(output.mError.empty() == (row.mStatus == ExitStatus::Done));
    CHECK(transport.mRequests[0].mBody == R"({"server":"s"})");
  }
}

TEST_CASE("--json prints the reply body unchanged")
{
  FakeTransport transport({ Answered(409, R"({"conflict_with":7})") });
  OperatorApi api(transport, "t");
  auto line = MakeLine(Command::DrainDaemon, "d");
  line.mJson = true;
  const auto output = RunRemote(line, api);
  CHECK(output.mStatus == ExitStatus::Conflict);
  CHECK(output.mOut == "{\"conflict_with\":7}\n");
}

TEST_CASE("a note is checked before it is sent, and sent unchanged")
{
  FakeTransport transport({ Answered(200, R"({"number":5})") });
  OperatorApi api(transport, "t");
  {
    const TemporaryFile file("[release]\nproduct = guides\nwhat = 1\n");
    const auto output =
      RunRemote(MakeLine(Command::ReleaseApply, file.Path()), api);
    CHECK(output.mStatus == ExitStatus::Invalid);
    CHECK(output.mError.find(file.Path() + ":3") != std::string::npos);
    CHECK(transport.mRequests.empty());
  }
  const TemporaryFile file(kNote);
  const auto output =
    RunRemote(MakeLine(Command::ReleaseApply, file.Path()), api);
  CHECK(output.mStatus == ExitStatus::Done);
  CHECK(output.mOut == "release 5 is accepted\n");
  REQUIRE(transport.mRequests.size() == 1);
  CHECK(transport.mRequests[0].mBody.find("[withdraw]\\naccounts = fitting") !=
        std::string::npos);
  CHECK(RunLocal(MakeLine(Command::ReleaseCheck, file.Path())).mStatus ==
        ExitStatus::Done);
}

TEST_CASE("settings errors name file and line")
{
  const TemporaryFile file("[log]\nlevel = loud\n");
  const auto output = RunLocal(MakeLine(Command::SettingsCheck, file.Path()));
  CHECK(output.mStatus == ExitStatus::Invalid);
  CHECK(output.mError.starts_with(file.Path() + ":2: [log] level: expected"));
  CHECK(RunLocal(MakeLine(Command::SettingsCheck, "/nonexistent")).mStatus ==
        ExitStatus::Invalid);
}

TEST_CASE("the token comes from the file or the environment")
{
  const TemporaryFile file("from-file\nmore\n");
  CHECK(ReadToken(file.Path(), "from-env").value() == "from-file");
  CHECK(ReadToken("", "from-env").value() == "from-env");
  CHECK_FALSE(ReadToken("", nullptr).has_value());
  CHECK_FALSE(ReadToken("", "two words").has_value());
  CHECK_FALSE(ReadToken("", "a\r\nb: c").has_value());
  CHECK_FALSE(ReadToken("/nonexistent", "from-env").has_value());
}
