#pragma once

#include <cstdint>
#include <string>
#include <string_view>

// The answer of the stand-in engine is a function of the prompt, so that a
// test can verify a whole answer.
namespace bilberrytrail::standins {

// Bytes of prompt text per token.
inline constexpr std::uint32_t kBytesPerToken = 4;

// Returns the number of tokens of a prompt text.
[[nodiscard]] std::uint32_t
TokenCount(std::string_view aText);

// The whole answer to one prompt.
//
//   const Answer answer(prompt);
//   CHECK(received == answer.Text(0, 16));
class Answer
{
public:
  explicit Answer(std::string_view aPrompt);

  // Returns the token at a position: "w<hash of the prompt>-<position> ".
  [[nodiscard]] std::string Token(std::uint32_t aPosition) const;
  // Returns the text from one position up to and without another.
  [[nodiscard]] std::string Text(std::uint32_t aFrom, std::uint32_t aTo) const;

private:
  std::string mHash;
};

// Returns the number of tokens of the whole answer: N of a "[[tokens=N]]" in
// the prompt when it is there, and at most the given number.
[[nodiscard]] std::uint32_t
AnswerLength(std::string_view aPrompt, std::uint32_t aMaxTokens);

} // namespace bilberrytrail::standins
