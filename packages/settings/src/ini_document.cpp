#include <bilberrytrail/settings/ini_document.h>

#include <bilberrytrail/base/text.h>

#include <ini.h>

#include <algorithm>
#include <cstddef>
#include <cstring>
#include <mutex>
#include <optional>

namespace bilberrytrail {

namespace {

// Longest line, not counting its line feed.
constexpr std::size_t kMaxLineBytes = 4096;
// inih stores names in buffers of 50 bytes and truncates longer ones.
constexpr std::size_t kMaxNameBytes = 49;
// Line feed and terminating null byte.
constexpr std::size_t kLineExtraBytes = 2;
constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

// inih is configured through global variables, set before its first use.
void
ConfigureLibrary()
{
  static std::once_flag once;
  std::call_once(once, [] {
    ini_use_stack = false;
    ini_allow_realloc = true;
    ini_max_line = static_cast<int>(kMaxLineBytes + kLineExtraBytes + 1);
    ini_initial_alloc = ini_max_line;
    ini_allow_multiline = false;
    ini_allow_inline_comments = false;
    ini_stop_on_first_error = true;
  });
}

constexpr std::string_view kBlanks = " \t\r";

bool
IsControl(char aChar)
{
  const auto c = static_cast<unsigned char>(aChar);
  return (c < 0x20 && c != '\t') || c == 0x7F;
}

// Returns what is wrong with a section line, or nullopt.
std::optional<std::string>
CheckSection(std::string_view aLine)
{
  const auto end = aLine.find(']');
  if (end != aLine.size() - 1) {
    return "expected [section] and nothing after it";
  }
  const auto name = aLine.substr(1, end - 1);
  if (name.empty() || Trim(name, kBlanks).size() != name.size()) {
    return "expected a section name without spaces around it";
  }
  if (name.size() > kMaxNameBytes) {
    return "expected a section name of at most " +
           std::to_string(kMaxNameBytes) + " bytes";
  }
  return std::nullopt;
}

// Returns what is wrong with an entry line, or nullopt.
std::optional<std::string>
CheckEntry(std::string_view aLine)
{
  const auto sign = aLine.find_first_of("=:");
  if (sign == std::string_view::npos || aLine[sign] == ':') {
    return "expected [section], key = value or a comment";
  }
  const auto key = Trim(aLine.substr(0, sign), kBlanks);
  if (key.empty()) {
    return "expected a key before '='";
  }
  if (key.size() > kMaxNameBytes) {
    return "expected a key of at most " + std::to_string(kMaxNameBytes) +
           " bytes";
  }
  return std::nullopt;
}

// Returns what is wrong with a line, or nullopt. Rejects lines that inih would
// truncate, and lines that it reads differently from this package's INI format.
std::optional<std::string>
CheckLine(std::string_view aLine)
{
  if (aLine.size() > kMaxLineBytes) {
    return "expected a line of at most " + std::to_string(kMaxLineBytes) +
           " bytes";
  }
  const auto line = Trim(aLine, kBlanks);
  if (std::ranges::any_of(line, IsControl)) {
    return "expected no control characters";
  }
  if (line.empty() || line.front() == ';' || line.front() == '#') {
    return std::nullopt;
  }
  return line.front() == '[' ? CheckSection(line) : CheckEntry(line);
}

// State of one call of ini_parse_stream.
struct Reader
{
  std::string_view mRemaining;
  int mLine = 0;
  std::string mProblem;
  std::vector<IniEntry> mEntries;
};

// Line reader for inih: copies the next line into aBuffer. Returns null at the
// end of the text or after an invalid line.
char*
ReadLine(char* aBuffer, int aSize, void* aReader)
{
  auto& reader = *static_cast<Reader*>(aReader);
  if (reader.mRemaining.empty() || !reader.mProblem.empty()) {
    return nullptr;
  }
  const auto end = reader.mRemaining.find('\n');
  const auto line = reader.mRemaining.substr(0, end);
  reader.mRemaining.remove_prefix(
    end == std::string_view::npos ? reader.mRemaining.size() : end + 1);
  ++reader.mLine;
  if (const auto problem = CheckLine(line)) {
    reader.mProblem = *problem;
    return nullptr;
  }
  if (line.size() + kLineExtraBytes > static_cast<std::size_t>(aSize)) {
    reader.mProblem =
      "expected a line of less than " + std::to_string(aSize) + " bytes";
    return nullptr;
  }
  std::memcpy(aBuffer, line.data(), line.size());
  aBuffer[line.size()] = '\n';
  aBuffer[line.size() + 1] = '\0';
  return aBuffer;
}

int
AddEntry(void* aReader,
         const char* aSection,
         const char* aKey,
         const char* aValue)
{
  auto& reader = *static_cast<Reader*>(aReader);
  reader.mEntries.push_back(
    IniEntry{ aSection, aKey, aValue == nullptr ? "" : aValue, reader.mLine });
  return 1;
}

Error
FailAt(std::string_view aName, int aLine, std::string_view aProblem)
{
  return Fail(ErrorCode::InvalidInput,
              std::string(aName) + ":" + std::to_string(aLine) + ": " +
                std::string(aProblem));
}

} // namespace

Result<std::vector<IniEntry>>
ParseIni(std::string_view aText, std::string_view aName)
{
  ConfigureLibrary();
  if (aText.starts_with(kByteOrderMark)) {
    aText.remove_prefix(kByteOrderMark.size());
  }
  Reader reader{ aText, 0, {}, {} };
  const int n = ini_parse_stream(ReadLine, &reader, AddEntry, &reader);
  if (!reader.mProblem.empty()) {
    return FailAt(aName, reader.mLine, reader.mProblem);
  }
  if (n != 0) {
    return FailAt(aName, n < 0 ? reader.mLine : n, "expected key = value");
  }
  return std::move(reader.mEntries);
}

} // namespace bilberrytrail
