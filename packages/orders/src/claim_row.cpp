#include <bilberrytrail/orders/claim_row.h>

#include <bilberrytrail/base/base64.h>
#include <bilberrytrail/base/digest.h>

#include <nlohmann/json.hpp>

namespace bilberrytrail {

namespace {

using Json = nlohmann::json;

bool
IsPlain(char aChar) noexcept
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         (aChar >= '0' && aChar <= '9') || aChar == '-' || aChar == '_' ||
         aChar == '.';
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    if (IsPlain(c)) {
      text.push_back(c);
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text.push_back('%');
    text.push_back(kDigits[byte >> 4U]);
    text.push_back(kDigits[byte & 15U]);
  }
  return text;
}

// Decodes a base64 field. Content types and bodies are stored as base64 because
// they may be any bytes, while JSON text has to be UTF-8.
std::string
DecodeField(const Json& aValue)
{
  auto bytes = FromBase64(aValue.get_ref<const std::string&>());
  return bytes ? std::move(bytes).value() : std::string();
}

// Appends a field preceded by its length, so that different lists of fields
// never give the same text.
void
AppendField(std::string& aText, std::string_view aField)
{
  aText += std::to_string(aField.size());
  aText += ':';
  aText += aField;
}

} // namespace

Result<void>
CheckIdempotencyKey(std::string_view aKey)
{
  if (aKey.empty()) {
    return Fail(ErrorCode::InvalidInput,
                "this call may not be repeated: send an Idempotency-Key "
                "header so that a resend can be recognised");
  }
  if (aKey.size() > kMaxIdempotencyKeyBytes) {
    return Fail(ErrorCode::InvalidInput,
                "the Idempotency-Key must be at most 255 bytes long");
  }
  return Ok();
}

std::string
ClaimRowKey(const ProductId& aProduct,
            const AccountId& aAccount,
            const IdempotencyKey& aKey)
{
  return "claim/" + PercentEncode(aProduct.Text()) + "/" +
         PercentEncode(aAccount.Text()) + "/" + PercentEncode(aKey.Text());
}

std::string
HashCall(std::string_view aMethod,
         std::string_view aPath,
         std::string_view aBody)
{
  std::string text;
  AppendField(text, aMethod);
  AppendField(text, aPath);
  text += aBody;
  return Sha256Hex(text);
}

std::string
EncodeClaimRow(const ClaimRow& aRow)
{
  Json json{ { "state", ToName(aRow.mState) },
             { "attempt", aRow.mAttempt.Text() },
             { "call", aRow.mCallHash },
             { "at", aRow.mWrittenAtMs } };
  if (aRow.mState == ClaimState::Answered) {
    json["status"] = aRow.mAnswer.mStatus;
    json["type"] = ToBase64(aRow.mAnswer.mContentType);
    json["body"] = ToBase64(aRow.mAnswer.mBody);
    json["omitted"] = aRow.mAnswer.mBodyOmitted;
  }
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ClaimRow>
DecodeClaimRow(std::string_view aText)
{
  try {
    const auto json = Json::parse(aText);
    const auto state =
      FromName<ClaimState>(json.at("state").get_ref<const std::string&>());
    if (!state) {
      return Fail(ErrorCode::Corrupt, "claim row: unknown state");
    }
    ClaimRow row;
    row.mState = *state;
    row.mAttempt = AttemptId(json.at("attempt").get<std::string>());
    row.mCallHash = json.at("call").get<std::string>();
    row.mWrittenAtMs = json.at("at").get<std::int64_t>();
    if (row.mState == ClaimState::Answered) {
      row.mAnswer.mStatus = json.at("status").get<unsigned>();
      row.mAnswer.mContentType = DecodeField(json.at("type"));
      row.mAnswer.mBody = DecodeField(json.at("body"));
      row.mAnswer.mBodyOmitted = json.at("omitted").get<bool>();
    }
    return row;
  } catch (const Json::exception& ec) {
    return Fail(ErrorCode::Corrupt, std::string("claim row: ") + ec.what());
  }
}

} // namespace bilberrytrail
