#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Interns identifiers as small numbers, so that entries do not repeat them.
template<class Name>
class NameTable
{
public:
  // Returns the name that has the number.
  [[nodiscard]] const Name& NameOf(std::uint32_t aNumber) const
  {
    return mNames[aNumber];
  }

  // Returns the number of a name; assigns one if the name has none.
  [[nodiscard]] std::uint32_t NumberOf(const Name& aName)
  {
    const auto it = mNumbers.find(aName);
    if (it != mNumbers.end()) {
      return it->second;
    }
    auto next = static_cast<std::uint32_t>(mNames.size());
    if (mFree.empty()) {
      mNames.push_back(aName);
    } else {
      next = mFree.back();
      mFree.pop_back();
      mNames[next] = aName;
    }
    mNumbers.emplace(aName, next);
    return next;
  }

  // Releases the name's number for reuse by another name.
  void Release(const Name& aName)
  {
    const auto it = mNumbers.find(aName);
    if (it != mNumbers.end()) {
      mFree.push_back(it->second);
      mNumbers.erase(it);
    }
  }

private:
  std::vector<Name> mNames;
  std::unordered_map<Name, std::uint32_t> mNumbers;
  std::vector<std::uint32_t> mFree;
};

} // namespace bilberrytrail
