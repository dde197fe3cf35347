#include "engine/answer_text.h"

#include <bilberrytrail/base/digest.h>

#include <algorithm>
#include <charconv>

namespace bilberrytrail::standins {

namespace {

constexpr std::string_view kLengthMark = "[[tokens=";

std::string
HashText(std::string_view aPrompt)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kLength = 8;
  auto hash = StableHash64(aPrompt);
  std::string text;
  for (int n = 0; n < kLength; ++n) {
    text += kDigits[hash & 15U];
    hash >>= 4U;
  }
  return text;
}

} // namespace

std::uint32_t
TokenCount(std::string_view aText)
{
  return static_cast<std::uint32_t>((aText.size() + kBytesPerToken - 1) /
                                    kBytesPerToken);
}

Answer::Answer(std::string_view aPrompt)
  : mHash(HashText(aPrompt))
{
}

std::string
Answer::Token(std::uint32_t aPosition) const
{
  return "w" + mHash + "-" + std::to_string(aPosition) + " ";
}

std::string
Answer::Text(std::uint32_t aFrom, std::uint32_t aTo) const
{
  std::string text;
  for (auto n = aFrom; n < aTo; ++n) {
    text += Token(n);
  }
  return text;
}

std::uint32_t
AnswerLength(std::string_view aPrompt, std::uint32_t aMaxTokens)
{
  const auto mark = aPrompt.find(kLengthMark);
  if (mark == std::string_view::npos) {
    return aMaxTokens;
  }
  const auto digits = aPrompt.substr(mark + kLengthMark.size());
  std::uint32_t length = aMaxTokens;
  std::from_chars(digits.data(), digits.data() + digits.size(), length);
  return std::min(length, aMaxTokens);
}

} // namespace bilberrytrail::standins
