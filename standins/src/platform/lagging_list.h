#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/json_fields.h>

#include <deque>
#include <utility>

namespace bilberrytrail::standins {

// A list whose readers see each change only after a lag.
class LaggingList
{
public:
  explicit LaggingList(Duration aLag)
    : mLag(aLag)
  {
  }

  // Returns the list as it stood one lag ago.
  [[nodiscard]] const Json& Read(Instant aNow)
  {
    while (!mPending.empty() && mPending.front().mVisibleAt <= aNow) {
      mVisible = std::move(mPending.front().mList);
      mPending.pop_front();
    }
    return mVisible;
  }

  // Sets the list.
  void Set(Json aList, Instant aNow)
  {
    mPending.push_back(Change{ aNow + mLag, std::move(aList) });
  }

private:
  struct Change
  {
    Instant mVisibleAt;
    Json mList;
  };

  Duration mLag;
  Json mVisible = Json::array();
  std::deque<Change> mPending;
};

} // namespace bilberrytrail::standins
