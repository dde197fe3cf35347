#include "common/options.h"

#include <getopt.h>

#include <cstdlib>
#include <vector>

namespace bilberrytrail::standins {

namespace {

bool
IsNumber(const std::string& aText)
{
  char* end = nullptr;
  const double value = std::strtod(aText.c_str(), &end);
  return !aText.empty() && *end == '\0' && value >= 0;
}

std::vector<option>
ToLongOptions(std::span<const OptionSpec> aSpecs)
{
  std::vector<option> all;
  for (const auto& spec : aSpecs) {
    const int argument =
      spec.mKind == OptionKind::Flag ? no_argument : required_argument;
    all.push_back(option{ spec.mName, argument, nullptr, 0 });
  }
  all.push_back(option{ nullptr, 0, nullptr, 0 });
  return all;
}

} // namespace

Result<Options>
Options::Parse(int aCount,
               char** aArguments,
               std::span<const OptionSpec> aSpecs)
{
  Options options;
  for (const auto& spec : aSpecs) {
    options.mValues[spec.mName] = spec.mDefault;
  }
  const auto longOptions = ToLongOptions(aSpecs);
  optind = 1;
  int n = 0;
  int code = 0;
  while ((code = getopt_long(aCount, aArguments, "", longOptions.data(), &n)) !=
         -1) {
    if (code != 0) {
      return Fail(ErrorCode::InvalidInput, "unknown option");
    }
    const auto& spec = aSpecs[static_cast<std::size_t>(n)];
    const std::string value =
      spec.mKind == OptionKind::Flag ? "true" : std::string(optarg);
    if (spec.mKind == OptionKind::Number && !IsNumber(value)) {
      return Fail(ErrorCode::InvalidInput,
                  std::string("--") + spec.mName + " expects a number");
    }
    options.mValues[spec.mName] = value;
  }
  if (optind != aCount) {
    return Fail(ErrorCode::InvalidInput, "unexpected argument");
  }
  return options;
}

const std::string&
Options::Text(std::string_view aName) const
{
  static const std::string kNone;
  const auto it = mValues.find(aName);
  return it == mValues.end() ? kNone : it->second;
}

std::uint64_t
Options::Unsigned(std::string_view aName) const
{
  return std::strtoull(Text(aName).c_str(), nullptr, 10);
}

double
Options::Real(std::string_view aName) const
{
  return std::strtod(Text(aName).c_str(), nullptr);
}

Duration
Options::Millis(std::string_view aName) const
{
  return FromMillis(Real(aName));
}

bool
Options::Flag(std::string_view aName) const
{
  return Text(aName) == "true";
}

std::string
HelpText(std::string_view aProgram, std::span<const OptionSpec> aSpecs)
{
  std::string text = "Usage: " + std::string(aProgram) + " [options]\n";
  for (const auto& spec : aSpecs) {
    text += std::string("  --") + spec.mName + " (" + spec.mDefault + ")  " +
            spec.mHelp + "\n";
  }
  return text;
}

} // namespace bilberrytrail::standins
