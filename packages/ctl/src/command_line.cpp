#include <bilberrytrail/ctl/command_line.h>

#include "command_table.h"

#include <algorithm>
#include <charconv>

#include <getopt.h>

namespace bilberrytrail {

namespace {

constexpr option kOptions[] = {
  { "account", required_argument, nullptr, 'a' },
  { "class", required_argument, nullptr, 'c' },
  { "daemon", required_argument, nullptr, 'd' },
  { "help", no_argument, nullptr, 'h' },
  { "json", no_argument, nullptr, 'j' },
  { "number", required_argument, nullptr, 'n' },
  { "timeout", required_argument, nullptr, 't' },
  { "token-file", required_argument, nullptr, 'f' },
  { nullptr, 0, nullptr, 0 },
};

Result<void>
StoreDaemon(CommandLine& aLine, std::string_view aText)
{
  auto endpoint = ParseEndpoint(aText);
  if (!endpoint || endpoint.value().mPort == 0) {
    return Fail(ErrorCode::InvalidInput,
                "--daemon: expected host:port with a port other than 0");
  }
  aLine.mDaemon = std::move(endpoint).value();
  return Ok();
}

Result<void>
StoreTimeout(CommandLine& aLine, std::string_view aText)
{
  constexpr int kMaxSeconds = 3600;
  int seconds = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != end || seconds < 1 ||
      seconds > kMaxSeconds) {
    return Fail(ErrorCode::InvalidInput,
                "--timeout: expected 1 to 3600 seconds");
  }
  aLine.mTimeout = std::chrono::seconds(seconds);
  return Ok();
}

Result<void>
StoreNumber(CommandLine& aLine, std::string_view aText)
{
  if (!std::ranges::all_of(
        aText, [](char aChar) { return aChar >= '0' && aChar <= '9'; }) ||
      aText.empty()) {
    return Fail(ErrorCode::InvalidInput,
                "--number: expected a release number in decimal digits");
  }
  aLine.mNumber = aText;
  return Ok();
}

Result<void>
StoreOption(CommandLine& aLine, int aOption, const char* aValue)
{
  switch (aOption) {
    case 'a':
      aLine.mAccount = aValue;
      break;
    case 'c':
      aLine.mClass = aValue;
      break;
    case 'd':
      return StoreDaemon(aLine, aValue);
    case 'f':
      aLine.mTokenFile = aValue;
      break;
    case 'h':
      aLine.mHelp = true;
      break;
    case 'j':
      aLine.mJson = true;
      break;
    case 'n':
      return StoreNumber(aLine, aValue);
    case 't':
      return StoreTimeout(aLine, aValue);
    default:
      return Fail(ErrorCode::InvalidInput,
                  "unknown option or missing value; see bilberryctl --help");
  }
  return Ok();
}

// Rejects abbreviated option names, which getopt_long accepts: with "--token"
// for "--token-file", operators would put tokens on command lines.
Result<void>
CheckOptionNames(const std::vector<std::string>& aArguments)
{
  for (const auto& argument : aArguments) {
    if (argument == "--") {
      break;
    }
    if (!argument.starts_with("--")) {
      continue;
    }
    const auto name = argument.substr(2, argument.find('=') - 2);
    const bool isKnown =
      std::ranges::any_of(kOptions, [&](const option& aOption) {
        return aOption.name != nullptr && name == aOption.name;
      });
    if (!isKnown) {
      return Fail(ErrorCode::InvalidInput,
                  "unknown option; see bilberryctl --help");
    }
  }
  return Ok();
}

// Finds the command named by the leading arguments and removes them from the
// list. Returns null if there is none.
const CommandInfo*
ExtractCommand(std::vector<std::string>& aArguments)
{
  for (const auto& info : CommandTable()) {
    const auto name = ToName(info.mCommand);
    const auto wordCount = name.find(' ') == std::string_view::npos ? 1U : 2U;
    if (aArguments.size() < wordCount) {
      continue;
    }
    if (name == aArguments[0] + (wordCount == 2 ? " " + aArguments[1] : "")) {
      aArguments.erase(aArguments.begin(), aArguments.begin() + wordCount);
      return &info;
    }
  }
  return nullptr;
}

Result<CommandLine>
AssignArguments(CommandLine aLine, std::vector<std::string> aArguments)
{
  if (aArguments.empty() && aLine.mHelp) {
    return aLine;
  }
  const auto* info = ExtractCommand(aArguments);
  if (info == nullptr) {
    if (aLine.mHelp) {
      return aLine;
    }
    return Fail(ErrorCode::InvalidInput,
                "expected a command; see bilberryctl --help");
  }
  aLine.mCommand = info->mCommand;
  const std::size_t expectedCount = info->mArgument.empty() ? 0 : 1;
  if (!aLine.mHelp && aArguments.size() != expectedCount) {
    return Fail(ErrorCode::InvalidInput,
                "expected: bilberryctl " + std::string(ToName(info->mCommand)) +
                  (expectedCount == 0 ? "" : " ") +
                  std::string(info->mArgument));
  }
  if (!aArguments.empty()) {
    aLine.mArgument = aArguments.front();
  }
  return aLine;
}

} // namespace

Result<CommandLine>
ParseCommandLine(const std::vector<std::string>& aArguments)
{
  if (const auto done = CheckOptionNames(aArguments); !done) {
    return done.error();
  }
  std::vector<std::string> arguments{ "bilberryctl" };
  arguments.insert(arguments.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(arguments.size() + 1);
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  pointers.push_back(nullptr);
  const int count = static_cast<int>(arguments.size());

  CommandLine line;
  optind = 0;
  opterr = 0;
  for (;;) {
    // NOLINTNEXTLINE(concurrency-mt-unsafe)
    const int n = getopt_long(count, pointers.data(), "hj", kOptions, nullptr);
    if (n == -1) {
      break;
    }
    if (const auto done = StoreOption(line, n, optarg); !done) {
      return done.error();
    }
  }
  return AssignArguments(std::move(line),
                         { pointers.begin() + optind, pointers.end() - 1 });
}

} // namespace bilberrytrail
