#include <bilberrytrail/platform/json_fields.h>

#include <bilberrytrail/base/json_bounds.h>

#include <limits>

namespace bilberrytrail {

namespace {

const Json&
EmptyArray()
{
  static const Json kEmpty = Json::array();
  return kEmpty;
}

const Json&
EmptyObject()
{
  static const Json kEmpty = Json::object();
  return kEmpty;
}

// Parsed numbers are unsigned unless negative, but a value built by the program
// can be non-negative and still have a signed type.
bool
IsUnsigned(const Json& aJson)
{
  return aJson.is_number_unsigned() ||
         (aJson.is_number_integer() && aJson.get<std::int64_t>() >= 0);
}

} // namespace

Result<Json>
ParseJson(std::string_view aText)
{
  if (!FitsJsonBounds(aText)) {
    return Fail(ErrorCode::TooLarge, "JSON has too many values or levels");
  }
  auto json = Json::parse(aText, nullptr, false);
  if (json.is_discarded()) {
    return Fail(ErrorCode::Corrupt, "malformed JSON");
  }
  return json;
}

Result<std::string>
WriteJson(const Json& aJson)
{
  try {
    return aJson.dump();
  } catch (const Json::exception&) {
    return Fail(ErrorCode::InvalidInput, "text is not UTF-8");
  }
}

JsonFields::JsonFields(const Json& aObject)
  : mObject(aObject)
{
  if (!mObject.is_object()) {
    mFirstBadField = "object";
  }
}

Result<void>
JsonFields::Check() const
{
  if (!mFirstBadField.empty()) {
    return Fail(ErrorCode::Corrupt,
                "missing or mistyped field: " + mFirstBadField);
  }
  return Ok();
}

bool
JsonFields::Has(std::string_view aName) const
{
  const auto* field = Find(aName);
  return field != nullptr && !field->is_null();
}

std::string
JsonFields::Text(std::string_view aName)
{
  const auto* field = Find(aName);
  if (field == nullptr || !field->is_string()) {
    Reject(aName);
    return {};
  }
  return field->get_ref<const std::string&>();
}

std::uint64_t
JsonFields::Unsigned(std::string_view aName)
{
  return UnsignedUpTo(aName, std::numeric_limits<std::uint64_t>::max());
}

std::uint32_t
JsonFields::Unsigned32(std::string_view aName)
{
  constexpr auto kMax = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(UnsignedUpTo(aName, kMax));
}

std::uint16_t
JsonFields::Unsigned16(std::string_view aName)
{
  constexpr auto kMax = std::numeric_limits<std::uint16_t>::max();
  return static_cast<std::uint16_t>(UnsignedUpTo(aName, kMax));
}

double
JsonFields::Real(std::string_view aName)
{
  const auto* field = Find(aName);
  if (field == nullptr || !field->is_number()) {
    Reject(aName);
    return 0;
  }
  return field->get<double>();
}

bool
JsonFields::Flag(std::string_view aName)
{
  const auto* field = Find(aName);
  if (field == nullptr || !field->is_boolean()) {
    Reject(aName);
    return false;
  }
  return field->get<bool>();
}

const Json&
JsonFields::List(std::string_view aName)
{
  const auto* field = Find(aName);
  if (field == nullptr || !field->is_array()) {
    Reject(aName);
    return EmptyArray();
  }
  return *field;
}

const Json&
JsonFields::Object(std::string_view aName)
{
  const auto* field = Find(aName);
  if (field == nullptr || !field->is_object()) {
    Reject(aName);
    return EmptyObject();
  }
  return *field;
}

void
JsonFields::Reject(std::string_view aName)
{
  if (mFirstBadField.empty()) {
    mFirstBadField = aName;
  }
}

const Json*
JsonFields::Find(std::string_view aName) const
{
  if (!mObject.is_object()) {
    return nullptr;
  }
  const auto it = mObject.find(aName);
  return it == mObject.end() ? nullptr : &*it;
}

std::uint64_t
JsonFields::UnsignedUpTo(std::string_view aName, std::uint64_t aMax)
{
  const auto* field = Find(aName);
  if (field == nullptr || !IsUnsigned(*field) ||
      field->get<std::uint64_t>() > aMax) {
    Reject(aName);
    return 0;
  }
  return field->get<std::uint64_t>();
}

} // namespace bilberrytrail
