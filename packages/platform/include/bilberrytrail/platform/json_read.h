#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/platform/json_fields.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Helpers for reading and writing messages with JsonFields.
//
//   JsonFields fields(json);
//   block.mTier = ReadEnumField<StoreTier>(fields, "tier");
//   block.mRef = ReadObjectField(fields, "ref", ReadBlockRef);
//   return Checked(fields, block);

// Returns the value, or Corrupt with the name of the first bad field.
template<class T>
[[nodiscard]] Result<T>
Checked(const JsonFields& aFields, T aValue)
{
  if (auto ok = aFields.Check(); !ok) {
    return std::move(ok).error();
  }
  return aValue;
}

// Reads a list element that is a string; fails with Corrupt.
[[nodiscard]] inline Result<std::string>
ReadText(const Json& aJson)
{
  if (!aJson.is_string()) {
    return Fail(ErrorCode::Corrupt, "JSON list element is not a string");
  }
  return aJson.get<std::string>();
}

// Reads a field that holds the name of an enumerator; marks the field as bad
// when the name is unknown.
template<class Enum>
[[nodiscard]] Enum
ReadEnumField(JsonFields& aFields, std::string_view aField)
{
  const auto value = FromName<Enum>(aFields.Text(aField));
  if (!value) {
    aFields.Reject(aField);
    return Enum{};
  }
  return *value;
}

// Reads a field that holds an object, using the reader of its type; marks the
// field as bad when the reader fails.
template<class Reader>
[[nodiscard]] auto
ReadObjectField(JsonFields& aFields, std::string_view aField, Reader aReader)
{
  auto parsed = aReader(aFields.Object(aField));
  using Parsed = std::decay_t<decltype(parsed.value())>;
  if (!parsed) {
    aFields.Reject(aField);
    return Parsed{};
  }
  return Parsed(std::move(parsed).value());
}

// Reads each element of a list with the reader. Fails with the error of the
// first element that the reader rejects.
template<class Reader>
[[nodiscard]] auto
ReadEach(const Json& aList, Reader aReader)
{
  using Element = std::decay_t<decltype(aReader(aList).value())>;
  std::vector<Element> elements;
  for (const auto& it : aList) {
    auto element = aReader(it);
    if (!element) {
      return Result<std::vector<Element>>(std::move(element).error());
    }
    elements.push_back(std::move(element).value());
  }
  return Result<std::vector<Element>>(std::move(elements));
}

// Reads a field that holds a list, using the reader of its elements; marks the
// field as bad when the reader rejects one of them.
template<class Reader>
[[nodiscard]] auto
ReadListField(JsonFields& aFields, std::string_view aField, Reader aReader)
{
  auto elements = ReadEach(aFields.List(aField), aReader);
  using List = std::decay_t<decltype(elements.value())>;
  if (!elements) {
    aFields.Reject(aField);
    return List{};
  }
  return List(std::move(elements).value());
}

// Writes a list, using the writer of its elements.
template<class List, class Writer>
[[nodiscard]] Json
ToJsonList(const List& aList, Writer aWriter)
{
  auto json = Json::array();
  for (const auto& it : aList) {
    json.push_back(aWriter(it));
  }
  return json;
}

// Writes a list whose element type has a ToJson overload.
template<class List>
[[nodiscard]] Json
ToJsonList(const List& aList)
{
  return ToJsonList(aList,
                    [](const auto& aElement) { return ToJson(aElement); });
}

} // namespace bilberrytrail
