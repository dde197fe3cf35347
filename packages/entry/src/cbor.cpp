#include "cbor.h"

namespace bilberrytrail {

namespace {

// Rejects values that are nested too deep, which would exhaust the stack of the
// fiber that parses them, or too many. Keeps nothing of the values.
class BoundsCheck : public nlohmann::json_sax<Json>
{
public:
  explicit BoundsCheck(const CborBounds& aBounds)
    : mBounds(aBounds)
  {
  }

  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override
  {
    return Count();
  }
  bool string(string_t&) override { return Count(); }
  bool binary(binary_t&) override { return Count(); }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  bool Count() { return ++mValues <= mBounds.mValues; }
  bool Enter() { return Count() && ++mDepth <= mBounds.mDepth; }
  bool Leave()
  {
    --mDepth;
    return true;
  }

  const CborBounds mBounds;
  std::size_t mDepth = 0;
  std::size_t mValues = 0;
};

} // namespace

std::string
WriteCbor(const Json& aValue)
{
  std::string bytes;
  Json::to_cbor(aValue, bytes);
  return bytes;
}

Result<Json>
ReadCbor(std::string_view aBytes, const CborBounds& aBounds)
{
  constexpr auto kFormat = Json::input_format_t::cbor;
  try {
    BoundsCheck check(aBounds);
    if (!Json::sax_parse(aBytes.begin(), aBytes.end(), &check, kFormat)) {
      return Fail(ErrorCode::Corrupt,
                  "CBOR is malformed, nested more than " +
                    std::to_string(aBounds.mDepth) +
                    " deep, or has more than " +
                    std::to_string(aBounds.mValues) + " values");
    }
    return Json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  } catch (const Json::exception& exception) {
    // The parser throws on sizes that exceed any memory, although the last
    // argument disables exceptions.
    return Fail(ErrorCode::Corrupt, exception.what());
  }
}

Json
ToBinary(std::string_view aBytes)
{
  return Json::binary({ aBytes.begin(), aBytes.end() });
}

std::string
ReadBinary(JsonFields& aFields, const Json& aObject, std::string_view aName)
{
  const auto it =
    aObject.is_object() ? aObject.find(std::string(aName)) : aObject.end();
  if (!aObject.is_object() || it == aObject.end() || !it->is_binary()) {
    aFields.Reject(aName);
    return {};
  }
  const auto& bytes = it->get_binary();
  return { bytes.begin(), bytes.end() };
}

} // namespace bilberrytrail
