#include "json_text.h"

#include <algorithm>
#include <string_view>

namespace bilberrytrail {

namespace {

const Json kNull;
const Json kEmptyList = Json::array();

const Json&
Member(const Json& aJson, const char* aKey)
{
  if (!aJson.is_object()) {
    return kNull;
  }
  const auto it = aJson.find(aKey);
  return it == aJson.end() ? kNull : *it;
}

std::string
Printable(std::string aText, std::string_view aAllowed)
{
  std::ranges::replace_if(
    aText,
    [aAllowed](char aChar) {
      const auto c = static_cast<unsigned char>(aChar);
      return (c < 0x20 || c == 0x7F) &&
             aAllowed.find(aChar) == std::string_view::npos;
    },
    '?');
  return aText;
}

std::string
StringOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_string() ? member.get<std::string>() : "";
}

} // namespace

std::string
TextOf(const Json& aJson, const char* aKey)
{
  return Printable(StringOf(aJson, aKey), "");
}

std::string
NoteOf(const Json& aJson, const char* aKey)
{
  return Printable(StringOf(aJson, aKey), "\n\t");
}

std::string
NumberOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_number() ? member.dump() : "-";
}

std::uint64_t
CountOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_number_unsigned() ? member.get<std::uint64_t>() : 0;
}

double
RealOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_number() ? member.get<double>() : 0;
}

bool
FlagOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_boolean() && member.get<bool>();
}

const Json&
ListOf(const Json& aJson, const char* aKey)
{
  const auto& member = Member(aJson, aKey);
  return member.is_array() ? member : kEmptyList;
}

} // namespace bilberrytrail
