#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/platform/json_fields.h>

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace bilberrytrail {

// Helpers for the readers and writers of messages, beside JsonFields.
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

// Reads an element of a list that is a text; fails with Corrupt.
[[nodiscard]] inline Result<std::string>
ReadText(const Json& aJson)
{
  if (!aJson.is_string()) {
    return Fail(ErrorCode::Corrupt, "not a text");
  }
  return aJson.get<std::string>();
}

// Reads a field that holds the name of an enumerator.
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

// Reads a field that holds an object, by the reader of its type; marks the
// field as bad when that fails.
template<class Reader>
[[nodiscard]] auto
ReadObjectField(JsonFields& aFields, std::string_view aField, Reader aReader)
{
  auto part = aReader(aFields.Object(aField));
  using Part = std::decay_t<decltype(part.value())>;
  if (!part) {
    aFields.Reject(aField);
    return Part{};
  }
  return Part(std::move(part).value());
}

// Reads a list by the reader of its elements. Fails with the first element
// that the reader refuses.
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

// Reads a field that holds a list, by the reader of its elements; marks the
// field as bad when one of them is refused.
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

// Writes a list by the writer of its elements.
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

// Writes a list whose elements have a ToJson.
template<class List>
[[nodiscard]] Json
ToJsonList(const List& aList)
{
  return ToJsonList(aList,
                    [](const auto& aElement) { return ToJson(aElement); });
}

} // namespace bilberrytrail
