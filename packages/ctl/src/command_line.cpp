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
    return Fail(ErrorCode::InvalidInput, "--daemon: expected host:port");
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
  const auto got = std::from_chars(aText.data(), end, seconds);
  if (got.ec != std::errc() || got.ptr != end || seconds < 1 ||
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
    return Fail(ErrorCode::InvalidInput, "--number: expected a number");
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

// Refuses shortened names of options, which getopt_long takes: "--token" must
// not stand for "--token-file", or a token would end up on command lines.
Result<void>
CheckOptionNames(const std::vector<std::string>& aWords)
{
  for (const auto& word : aWords) {
    if (word == "--") {
      break;
    }
    if (!word.starts_with("--")) {
      continue;
    }
    const auto name = word.substr(2, word.find('=') - 2);
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

// Finds the command whose words begin the list, and removes them.
const CommandInfo*
TakeCommand(std::vector<std::string>& aWords)
{
  for (const auto& info : CommandTable()) {
    const auto name = ToName(info.mCommand);
    const auto words = name.find(' ') == std::string_view::npos ? 1U : 2U;
    if (aWords.size() < words) {
      continue;
    }
    if (name == aWords[0] + (words == 2 ? " " + aWords[1] : "")) {
      aWords.erase(aWords.begin(), aWords.begin() + words);
      return &info;
    }
  }
  return nullptr;
}

Result<CommandLine>
TakeWords(CommandLine aLine, std::vector<std::string> aWords)
{
  if (aWords.empty() && aLine.mHelp) {
    return aLine;
  }
  const auto* info = TakeCommand(aWords);
  if (info == nullptr) {
    if (aLine.mHelp) {
      return aLine;
    }
    return Fail(ErrorCode::InvalidInput,
                "expected a command; see bilberryctl --help");
  }
  aLine.mCommand = info->mCommand;
  const std::size_t wanted = info->mArgument.empty() ? 0 : 1;
  if (!aLine.mHelp && aWords.size() != wanted) {
    return Fail(ErrorCode::InvalidInput,
                "expected: bilberryctl " + std::string(ToName(info->mCommand)) +
                  (wanted == 0 ? "" : " ") + std::string(info->mArgument));
  }
  if (!aWords.empty()) {
    aLine.mArgument = aWords.front();
  }
  return aLine;
}

} // namespace

Result<CommandLine>
ParseCommandLine(const std::vector<std::string>& aWords)
{
  if (const auto done = CheckOptionNames(aWords); !done) {
    return done.error();
  }
  std::vector<std::string> words{ "bilberryctl" };
  words.insert(words.end(), aWords.begin(), aWords.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (auto& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  const int count = static_cast<int>(words.size());

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
  return TakeWords(std::move(line),
                   { pointers.begin() + optind, pointers.end() - 1 });
}

} // namespace bilberrytrail
