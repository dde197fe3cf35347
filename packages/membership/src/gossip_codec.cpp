#include <bilberrytrail/membership/gossip_message.h>

#include <nlohmann/json.hpp>

namespace bilberrytrail {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxDepth = 3;
constexpr std::size_t kRecordFields = 6;
constexpr std::size_t kNumberFields = 2;
constexpr std::size_t kMessageFields = 8;

// Accepts only arrays, texts and unsigned numbers within the limits. It runs
// before the document is built, so that deeply nested or huge input uses
// neither stack nor memory.
class ShapeCheck : public nlohmann::json_sax<json>
{
public:
  bool null() override { return false; }
  bool boolean(bool) override { return false; }
  bool number_integer(number_integer_t) override { return false; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return false; }
  bool string(string_t& aText) override
  {
    return aText.size() <= kMaxGossipTextBytes;
  }
  bool binary(binary_t&) override { return false; }
  bool start_object(std::size_t) override { return false; }
  bool key(string_t&) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t aCount) override
  {
    ++mDepth;
    return mDepth <= kMaxDepth && aCount <= kMaxGossipMembers;
  }
  bool end_array() override
  {
    --mDepth;
    return true;
  }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override
  {
    return false;
  }

private:
  std::size_t mDepth = 0;
};

json
Encode(const MemberRecord& aRecord)
{
  return json::array({ aRecord.mId.Text(),
                       aRecord.mIncarnation.Value(),
                       static_cast<unsigned>(aRecord.mStatus),
                       aRecord.mZone.Text(),
                       aRecord.mEndpoint.mHost,
                       aRecord.mEndpoint.mPort });
}

json
Encode(const SharedNumber& aNumber)
{
  return json::array({ aNumber.mName, aNumber.mValue });
}

// Reads the fields of one array in order. After a field of an unexpected type
// IsOk() is false and all further values are empty.
class FieldReader
{
public:
  FieldReader(const json& aArray, std::size_t aCount)
    : mArray(aArray)
    , mOk(aArray.is_array() && aArray.size() == aCount)
  {
  }

  [[nodiscard]] bool IsOk() const { return mOk; }

  std::uint64_t Unsigned(std::uint64_t aMax = UINT64_MAX)
  {
    const json* field = Next();
    if (field == nullptr || !field->is_number_unsigned() ||
        field->get<std::uint64_t>() > aMax) {
      mOk = false;
      return 0;
    }
    return field->get<std::uint64_t>();
  }
  std::string Text()
  {
    const json* field = Next();
    if (field == nullptr || !field->is_string()) {
      mOk = false;
      return {};
    }
    return field->get<std::string>();
  }
  const json& Array()
  {
    static const json kEmpty = json::array();
    const json* field = Next();
    if (field == nullptr || !field->is_array()) {
      mOk = false;
      return kEmpty;
    }
    return *field;
  }

private:
  const json* Next() { return mOk ? &mArray[mIndex++] : nullptr; }

  const json& mArray;
  std::size_t mIndex = 0;
  bool mOk;
};

bool
Decode(const json& aArray, MemberRecord& aRecord)
{
  FieldReader fields(aArray, kRecordFields);
  aRecord.mId = DaemonId(fields.Text());
  aRecord.mIncarnation = Incarnation(fields.Unsigned());
  aRecord.mStatus =
    static_cast<MemberStatus>(fields.Unsigned(EnumCount<MemberStatus>() - 1));
  aRecord.mZone = ZoneId(fields.Text());
  aRecord.mEndpoint.mHost = fields.Text();
  aRecord.mEndpoint.mPort =
    static_cast<std::uint16_t>(fields.Unsigned(UINT16_MAX));
  return fields.IsOk() && !aRecord.mId.IsEmpty();
}

bool
Decode(const json& aArray, SharedNumber& aNumber)
{
  FieldReader fields(aArray, kNumberFields);
  aNumber.mName = fields.Text();
  aNumber.mValue = fields.Unsigned();
  return fields.IsOk() && !aNumber.mName.empty();
}

template<class T>
bool
DecodeAll(const json& aArray, std::size_t aMax, std::vector<T>& aItems)
{
  if (aArray.size() > aMax) {
    return false;
  }
  for (const auto& it : aArray) {
    if (!Decode(it, aItems.emplace_back())) {
      return false;
    }
  }
  return true;
}

template<class T>
json
EncodeAll(const std::vector<T>& aItems)
{
  json array = json::array();
  for (const auto& it : aItems) {
    array.push_back(Encode(it));
  }
  return array;
}

bool
Decode(const json& aArray, GossipMessage& aMessage)
{
  FieldReader fields(aArray, kMessageFields);
  aMessage.mKind =
    static_cast<GossipKind>(fields.Unsigned(EnumCount<GossipKind>() - 1));
  aMessage.mSequence = fields.Unsigned();
  const json& sender = fields.Array();
  aMessage.mTarget = DaemonId(fields.Text());
  aMessage.mTargetEndpoint.mHost = fields.Text();
  aMessage.mTargetEndpoint.mPort =
    static_cast<std::uint16_t>(fields.Unsigned(UINT16_MAX));
  const json& members = fields.Array();
  const json& numbers = fields.Array();
  return fields.IsOk() && Decode(sender, aMessage.mSender) &&
         DecodeAll(members, kMaxGossipMembers, aMessage.mMembers) &&
         DecodeAll(numbers, kMaxGossipNumbers, aMessage.mNumbers);
}

} // namespace

std::string
ReleaseNumberName(const ProductId& aProduct)
{
  return "release/" + aProduct.Text();
}

std::string
ToBytes(const GossipMessage& aMessage)
{
  const json array = json::array({ static_cast<unsigned>(aMessage.mKind),
                                   aMessage.mSequence,
                                   Encode(aMessage.mSender),
                                   aMessage.mTarget.Text(),
                                   aMessage.mTargetEndpoint.mHost,
                                   aMessage.mTargetEndpoint.mPort,
                                   EncodeAll(aMessage.mMembers),
                                   EncodeAll(aMessage.mNumbers) });
  std::string bytes;
  json::to_cbor(array, bytes);
  return bytes;
}

Result<GossipMessage>
GossipMessageFromBytes(std::string_view aBytes)
{
  if (aBytes.size() > kMaxGossipBytes) {
    return Fail(ErrorCode::TooLarge,
                "gossip message: size of " + std::to_string(aBytes.size()) +
                  " bytes exceeds the limit of " +
                  std::to_string(kMaxGossipBytes));
  }
  ShapeCheck check;
  if (!json::sax_parse(
        aBytes.begin(), aBytes.end(), &check, json::input_format_t::cbor)) {
    return Fail(ErrorCode::InvalidInput,
                "gossip message of " + std::to_string(aBytes.size()) +
                  " bytes: malformed CBOR, or a value of a type or size that "
                  "is not allowed");
  }
  const json array = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  GossipMessage message;
  if (!Decode(array, message)) {
    return Fail(
      ErrorCode::InvalidInput,
      "gossip message of " + std::to_string(aBytes.size()) +
        " bytes: wrong number or type of fields, or a value out of range");
  }
  return message;
}

} // namespace bilberrytrail
