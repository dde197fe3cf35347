#include <bilberrytrail/base/log.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bilberrytrail {

namespace {

// Bytes reserved for " omitted=NNN".
constexpr std::size_t kOmittedBytes = 16;

constexpr std::array<std::string_view, 7> kWithheldKeys{
  "prompt", "answer", "body", "token", "key", "secret", "authorization"
};

// Returns true for a withheld key such as "token" and for keys that end in it
// after '_', such as "operator_token".
bool
IsWithheld(std::string_view aKey)
{
  return std::ranges::any_of(kWithheldKeys, [&](std::string_view aWord) {
    return aKey.ends_with(aWord) &&
           (aKey.size() == aWord.size() ||
            aKey[aKey.size() - aWord.size() - 1] == '_');
  });
}

bool
IsPlain(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') ||
         std::string_view("._:/+@-").find(aChar) != std::string_view::npos;
}

void
AppendEscaped(std::string& aOut, char aChar)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto c = static_cast<unsigned char>(aChar);
  if (aChar == '"' || aChar == '\\') {
    aOut += '\\';
    aOut += aChar;
  } else if (aChar == '\n') {
    aOut += "\\n";
  } else if (c < 0x20 || c >= 0x7F) {
    aOut += "\\x";
    aOut += kDigits[c >> 4U];
    aOut += kDigits[c & 15U];
  } else {
    aOut += aChar;
  }
}

std::string
RenderValue(std::string_view aValue)
{
  const bool shortened = aValue.size() > kMaxLogValueBytes;
  aValue = aValue.substr(0, kMaxLogValueBytes);
  std::string text(aValue);
  if (aValue.empty() || !std::ranges::all_of(aValue, IsPlain)) {
    text = "\"";
    for (const char c : aValue) {
      AppendEscaped(text, c);
    }
    text += '"';
  }
  if (shortened) {
    text += "...";
  }
  return text;
}

std::string
RenderField(const LogField& aField)
{
  std::string text = " ";
  text += aField.mKey;
  text += '=';
  text += IsWithheld(aField.mKey) ? "withheld" : RenderValue(aField.mValue);
  return text;
}

} // namespace

LogField::LogField(std::string_view aKey, Duration aValue)
  : mKey(aKey)
{
  std::array<char, 32> buf{};
  const int n =
    std::snprintf(buf.data(), buf.size(), "%.3fms", ToMillis(aValue));
  mValue.assign(buf.data(), static_cast<std::size_t>(std::max(n, 0)));
}

std::string
RenderLogLine(LogEvent aEvent, std::initializer_list<LogField> aFields)
{
  const auto& info = InfoOf(aEvent);
  std::string line = "event=" + std::to_string(info.mNumber) + " name=";
  line += info.mName;
  std::size_t omitted = 0;
  for (const auto& field : aFields) {
    const auto text = RenderField(field);
    if (line.size() + text.size() + kOmittedBytes > kMaxLogLineBytes) {
      ++omitted;
      continue;
    }
    line += text;
  }
  if (omitted > 0) {
    line += " omitted=" + std::to_string(omitted);
  }
  return line;
}

} // namespace bilberrytrail
