#include "note_rules.h"

#include "note_values.h"

#include <algorithm>

namespace bilberrytrail {

namespace {

template<class T>
bool
Store(std::optional<T>& aField, std::optional<T> aValue)
{
  aField = std::move(aValue);
  return aField.has_value();
}

template<class T>
bool
StoreName(std::optional<T>& aField, std::string_view aText)
{
  aField = T(std::string(aText));
  return IsName(aText);
}

bool
StoreTokens(AccountFields& aFields, std::string_view aText)
{
  return Store(aFields.mTokenHashes, ReadList(aText)) &&
         std::all_of(aFields.mTokenHashes->begin(),
                     aFields.mTokenHashes->end(),
                     IsSha256);
}

bool
IsRepeatableCall(std::string_view aText)
{
  const auto blank = aText.find(' ');
  return blank != std::string_view::npos && blank > 0 &&
         aText.substr(blank + 1).starts_with('/');
}

bool
StoreRepeatable(ServiceFields& aFields, std::string_view aText)
{
  return Store(aFields.mRepeatable, ReadList(aText)) &&
         std::all_of(aFields.mRepeatable->begin(),
                     aFields.mRepeatable->end(),
                     IsRepeatableCall);
}

bool
StoreTimeout(ServiceFields& aFields, std::string_view aText)
{
  constexpr std::uint32_t kMaxTimeoutMs = 3'600'000;
  const auto n = ReadUnsigned(aText);
  aFields.mTimeout = std::chrono::milliseconds(n.value_or(0));
  return n && *n > 0 && *n <= kMaxTimeoutMs;
}

constexpr FieldRule<AccountFields> kAccountRules[] = {
  { "token_sha256", true, "a list of SHA-256 hashes", StoreTokens },
  { "requests_per_second",
    true,
    "a positive number",
    [](AccountFields& aFields, std::string_view aText) {
      return Store(aFields.mRequestsPerSecond, ReadPositive(aText));
    } },
  { "tokens_per_second",
    true,
    "a positive number",
    [](AccountFields& aFields, std::string_view aText) {
      return Store(aFields.mTokensPerSecond, ReadPositive(aText));
    } },
  { "concurrent",
    true,
    "a whole number above 0",
    [](AccountFields& aFields, std::string_view aText) {
      return Store(aFields.mConcurrent, ReadUnsigned(aText)) &&
             *aFields.mConcurrent > 0;
    } },
};

constexpr FieldRule<ModelFields> kModelRules[] = {
  { "version",
    true,
    "a version's name",
    [](ModelFields& aFields, std::string_view aText) {
      return StoreName(aFields.mVersion, aText);
    } },
  { "min_servers",
    true,
    "a whole number",
    [](ModelFields& aFields, std::string_view aText) {
      return Store(aFields.mMinServers, ReadUnsigned(aText));
    } },
  { "max_servers",
    true,
    "a whole number above 0",
    [](ModelFields& aFields, std::string_view aText) {
      return Store(aFields.mMaxServers, ReadUnsigned(aText)) &&
             *aFields.mMaxServers > 0;
    } },
  { "role",
    false,
    "a role's name",
    [](ModelFields& aFields, std::string_view aText) {
      return StoreName(aFields.mRole, aText);
    } },
};

constexpr FieldRule<AdapterFields> kAdapterRules[] = {
  { "model",
    true,
    "a model's name",
    [](AdapterFields& aFields, std::string_view aText) {
      return StoreName(aFields.mModel, aText);
    } },
};

constexpr FieldRule<ServiceFields> kServiceRules[] = {
  { "group",
    true,
    "a group's name",
    [](ServiceFields& aFields, std::string_view aText) {
      return StoreName(aFields.mGroup, aText);
    } },
  { "repeatable",
    false,
    "a list such as GET /stock, GET /slots",
    StoreRepeatable },
  { "timeout_ms",
    true,
    "a whole number of milliseconds from 1 to 3600000",
    StoreTimeout },
};

} // namespace

std::span<const FieldRule<AccountFields>>
AccountRules()
{
  return kAccountRules;
}

std::span<const FieldRule<ModelFields>>
ModelRules()
{
  return kModelRules;
}

std::span<const FieldRule<AdapterFields>>
AdapterRules()
{
  return kAdapterRules;
}

std::span<const FieldRule<ServiceFields>>
ServiceRules()
{
  return kServiceRules;
}

} // namespace bilberrytrail
