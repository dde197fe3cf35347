#pragma once

#include "fake_server.h"

#include <bilberrytrail/base/call.h>

namespace bilberrytrail::tests {

// What one call must come to when the fake server gives the answer.
struct DispositionRow
{
  const char* mName;
  FakeAnswer mAnswer;
  // The call succeeds; else it fails with the fate and the code.
  bool mDone;
  CallFate mFate;
  ErrorCode mCode;
};

// Checks the result of one call against its row.
template<class T>
void
CheckDisposition(const DispositionRow& aRow, const CallResult<T>& aResult)
{
  CAPTURE(aRow.mName);
  REQUIRE(aResult.has_value() == aRow.mDone);
  if (!aRow.mDone) {
    CHECK(ToName(aResult.error().mFate) == ToName(aRow.mFate));
    CHECK(ToName(aResult.error().mError.mCode) == ToName(aRow.mCode));
  }
}

} // namespace bilberrytrail::tests
