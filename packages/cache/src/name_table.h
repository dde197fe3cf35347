#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace bilberrytrail {

// Numbers identifiers, so that entries need not repeat them.
template<class Name>
class NameTable
{
public:
  // Returns the name with a number.
  [[nodiscard]] const Name& NameOf(std::uint32_t aNumber) const
  {
    return mNames[aNumber];
  }

  // Returns the number of a name, giving it one when it has none.
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

  // Makes the name's number free for another name.
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
