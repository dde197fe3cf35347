#include <bilberrytrail/release/product_state.h>

#include "row_fields.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

namespace {

using nlohmann::json;

json
Encode(const AccountSpec& aSpec)
{
  return { { "token_sha256", aSpec.mTokenHashes },
           { "requests_per_second", aSpec.mRequestsPerSecond },
           { "tokens_per_second", aSpec.mTokensPerSecond },
           { "concurrent", aSpec.mConcurrent } };
}

json
Encode(const ModelSpec& aSpec)
{
  return { { "version", aSpec.mVersion.Text() },
           { "min_servers", aSpec.mMinServers },
           { "max_servers", aSpec.mMaxServers },
           { "role", aSpec.mRole } };
}

json
Encode(const AdapterSpec& aSpec)
{
  return json{ { "model", aSpec.mModel.Text() } };
}

json
Encode(const ServiceSpec& aSpec)
{
  return { { "group", aSpec.mGroup },
           { "repeatable", aSpec.mRepeatable },
           { "timeout_us", aSpec.mTimeout.count() } };
}

void
Decode(RowFields& aFields, AccountSpec& aSpec)
{
  aSpec.mTokenHashes = aFields.Texts("token_sha256");
  aSpec.mRequestsPerSecond = aFields.Real("requests_per_second");
  aSpec.mTokensPerSecond = aFields.Real("tokens_per_second");
  aSpec.mConcurrent = aFields.Unsigned32("concurrent");
}

void
Decode(RowFields& aFields, ModelSpec& aSpec)
{
  aSpec.mVersion = VersionId(aFields.Text("version"));
  aSpec.mMinServers = aFields.Unsigned32("min_servers");
  aSpec.mMaxServers = aFields.Unsigned32("max_servers");
  aSpec.mRole = aFields.Text("role");
}

void
Decode(RowFields& aFields, AdapterSpec& aSpec)
{
  aSpec.mModel = ModelId(aFields.Text("model"));
}

void
Decode(RowFields& aFields, ServiceSpec& aSpec)
{
  aSpec.mGroup = aFields.Text("group");
  aSpec.mRepeatable = aFields.Texts("repeatable");
  aSpec.mTimeout = Duration(aFields.Unsigned32("timeout_us"));
}

const std::string&
KeyText(const std::string& aKey)
{
  return aKey;
}

template<class Tag>
const std::string&
KeyText(const Id<Tag>& aKey)
{
  return aKey.Text();
}

template<class Key, class Spec>
json
EncodeAll(const std::map<Key, Spec>& aItems)
{
  json object = json::object();
  for (const auto& [key, spec] : aItems) {
    object[KeyText(key)] = Encode(spec);
  }
  return object;
}

template<class Key, class Spec>
bool
DecodeAll(const json& aObject, std::map<Key, Spec>& aItems)
{
  for (const auto& it : aObject.items()) {
    RowFields fields(it.value());
    Decode(fields, aItems[Key(it.key())]);
    if (!fields.IsOk()) {
      return false;
    }
  }
  return true;
}

} // namespace

std::string
ToText(const ProductState& aState)
{
  const json object = { { "product", aState.mProduct.Text() },
                        { "number", aState.mNumber.Value() },
                        { "accounts", EncodeAll(aState.mAccounts) },
                        { "models", EncodeAll(aState.mModels) },
                        { "adapters", EncodeAll(aState.mAdapters) },
                        { "services", EncodeAll(aState.mServices) } };
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ProductState>
ProductStateFromText(std::string_view aText)
{
  const json object = json::parse(aText.begin(), aText.end(), nullptr, false);
  RowFields fields(object);
  ProductState state;
  state.mProduct = ProductId(fields.Text("product"));
  state.mNumber = ReleaseNumber(fields.Unsigned("number"));
  const bool complete = DecodeAll(fields.Object("accounts"), state.mAccounts) &&
                        DecodeAll(fields.Object("models"), state.mModels) &&
                        DecodeAll(fields.Object("adapters"), state.mAdapters) &&
                        DecodeAll(fields.Object("services"), state.mServices);
  if (!complete || !fields.IsOk()) {
    return Fail(ErrorCode::Corrupt,
                "product state: not JSON, or a field is missing or of another "
                "type (" +
                  std::to_string(aText.size()) + " bytes read)");
  }
  return state;
}

std::string
HashOf(const ProductState& aState)
{
  return Sha256Hex(ToText(aState));
}

} // namespace bilberrytrail
