#pragma once

#include <bilberrytrail/base/error.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrytrail {

using Json = nlohmann::json;

// Parses a JSON text. Fails with Corrupt; throws no exception.
[[nodiscard]] Result<Json>
ParseJson(std::string_view aText);

// Serializes a JSON value. Fails with InvalidInput when a string is not UTF-8.
[[nodiscard]] Result<std::string>
WriteJson(const Json& aJson);

// Reads the fields of a JSON object and checks their types. A missing or
// mistyped field yields an empty value and is recorded, so that one check at
// the end is enough.
//
//   JsonFields fields(json);
//   row.mKey = fields.Text("key");
//   row.mVersion = fields.Unsigned("version");
//   if (auto ok = fields.Check(); !ok) {
//     return std::move(ok).error();
//   }
class JsonFields
{
public:
  // The JSON value must outlive the reader.
  explicit JsonFields(const Json& aObject);

  // Fails with Corrupt and the name of the first bad field.
  [[nodiscard]] Result<void> Check() const;
  // Returns true when the field is present and not null.
  [[nodiscard]] bool Has(std::string_view aName) const;

  [[nodiscard]] std::string Text(std::string_view aName);
  [[nodiscard]] std::uint64_t Unsigned(std::string_view aName);
  [[nodiscard]] std::uint32_t Unsigned32(std::string_view aName);
  [[nodiscard]] std::uint16_t Unsigned16(std::string_view aName);
  [[nodiscard]] double Real(std::string_view aName);
  [[nodiscard]] bool Flag(std::string_view aName);
  // Returns an array, empty when the field is missing or mistyped.
  [[nodiscard]] const Json& List(std::string_view aName);
  // Returns an object, empty when the field is missing or mistyped.
  [[nodiscard]] const Json& Object(std::string_view aName);
  // Records a field as bad, for Check.
  void Reject(std::string_view aName);

private:
  [[nodiscard]] const Json* Find(std::string_view aName) const;
  [[nodiscard]] std::uint64_t UnsignedUpTo(std::string_view aName,
                                           std::uint64_t aMax);

  const Json& mObject;
  std::string mFirstBadField;
};

} // namespace bilberrytrail
