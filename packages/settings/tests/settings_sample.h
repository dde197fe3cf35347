#pragma once

#include <string>
#include <string_view>

namespace bilberrytrail {

// A settings file with the required keys only.
inline constexpr std::string_view kSampleSettings =
  "[daemon]\n"
  "site_key = 0123456789abcdef0123456789abcdef\n"
  "name = entry-1\n"
  "zone = north-a\n"
  "region = north\n"
  "[listen]\n"
  "callers = 10.0.0.1:7000\n"
  "operators = 10.0.0.1:7001\n"
  "peers = 10.0.0.1:7002\n"
  "[platform]\n"
  "table = 10.0.0.9:1\n"
  "objects = 10.0.0.9:2\n"
  "list = 10.0.0.9:3\n"
  "[operators]\n"
  "token_hash = "
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";

// Number of lines of the sample.
inline constexpr int kSampleLines = 15;

// Replaces each "+N" by the number of the Nth line after the sample.
inline std::string
WithLines(std::string_view aText)
{
  std::string text;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    if (aText[n] == '+' && n + 1 < aText.size()) {
      text += std::to_string(kSampleLines + (aText[++n] - '0'));
    } else {
      text += aText[n];
    }
  }
  return text;
}

} // namespace bilberrytrail
