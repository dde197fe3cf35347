#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Reads the members of a JSON object. Once a member is missing or of another
// type, IsOk returns false and all reads return empty values; nothing throws.
class RowFields
{
public:
  explicit RowFields(const nlohmann::json& aObject)
    : mObject(aObject)
    , mOk(aObject.is_object())
  {
  }

  [[nodiscard]] bool IsOk() const noexcept { return mOk; }

  std::string Text(const char* aKey)
  {
    const nlohmann::json* field = Find(aKey);
    return Check(field != nullptr && field->is_string())
             ? field->get<std::string>()
             : std::string();
  }
  std::uint64_t Unsigned(const char* aKey)
  {
    const nlohmann::json* field = Find(aKey);
    return Check(field != nullptr && field->is_number_unsigned())
             ? field->get<std::uint64_t>()
             : 0;
  }
  std::uint32_t Unsigned32(const char* aKey)
  {
    const std::uint64_t n = Unsigned(aKey);
    return Check(n <= UINT32_MAX) ? static_cast<std::uint32_t>(n) : 0;
  }
  double Real(const char* aKey)
  {
    const nlohmann::json* field = Find(aKey);
    return Check(field != nullptr && field->is_number()) ? field->get<double>()
                                                         : 0;
  }
  std::vector<std::string> Texts(const char* aKey)
  {
    std::vector<std::string> texts;
    const nlohmann::json* field = Find(aKey);
    if (!Check(field != nullptr && field->is_array())) {
      return texts;
    }
    for (const auto& it : *field) {
      if (!Check(it.is_string())) {
        return {};
      }
      texts.push_back(it.get<std::string>());
    }
    return texts;
  }
  const nlohmann::json& Object(const char* aKey)
  {
    static const nlohmann::json kEmpty = nlohmann::json::object();
    const nlohmann::json* field = Find(aKey);
    return Check(field != nullptr && field->is_object()) ? *field : kEmpty;
  }

private:
  const nlohmann::json* Find(const char* aKey) const
  {
    if (!mOk) {
      return nullptr;
    }
    const auto it = mObject.find(aKey);
    return it == mObject.end() ? nullptr : &*it;
  }
  bool Check(bool aCondition)
  {
    mOk = mOk && aCondition;
    return mOk;
  }

  const nlohmann::json& mObject;
  bool mOk;
};

} // namespace bilberrytrail
