#pragma once

#include <bilberrytrail/base/error.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace bilberrytrail::standins {

// Kinds of command line options.
enum class OptionKind : unsigned char
{
  Text,
  Number,
  Flag
};

// One command line option, "--name value" or for flags "--name".
struct OptionSpec
{
  const char* mName;
  OptionKind mKind;
  const char* mDefault;
  const char* mHelp;
};

// Values of the options of one program.
class Options
{
public:
  // Reads the command line. Fails with InvalidInput when an option is unknown
  // or a number is malformed.
  [[nodiscard]] static Result<Options>
  Parse(int aCount, char** aArguments, std::span<const OptionSpec> aSpecs);

  [[nodiscard]] const std::string& Text(std::string_view aName) const;
  [[nodiscard]] std::uint64_t Unsigned(std::string_view aName) const;
  [[nodiscard]] double Real(std::string_view aName) const;
  // Returns a number of milliseconds as a length of time.
  [[nodiscard]] Duration Millis(std::string_view aName) const;
  [[nodiscard]] bool Flag(std::string_view aName) const;

private:
  std::map<std::string, std::string, std::less<>> mValues;
};

// Returns the help text of a program.
[[nodiscard]] std::string
HelpText(std::string_view aProgram, std::span<const OptionSpec> aSpecs);

} // namespace bilberrytrail::standins
