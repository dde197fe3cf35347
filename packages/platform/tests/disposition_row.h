#pragma once

#include "fake_server.h"

#include <bilberrytrail/base/call.h>

namespace bilberrytrail::tests {

// The expected result of a call when the fake server sends the given response.
struct DispositionRow
{
  const char* mName;
  FakeAnswer mAnswer;
  // True when the call succeeds; otherwise it fails with the disposition and
  // the code.
  bool mDone;
  CallDisposition mDisposition;
  ErrorCode mCode;
};

// Checks the result of a call against its row.
template<class T>
void
CheckDisposition(const DispositionRow& aRow, const CallResult<T>& aResult)
{
  CAPTURE(aRow.mName);
  REQUIRE(aResult.has_value() == aRow.mDone);
  if (!aRow.mDone) {
    CHECK(ToName(aResult.error().mDisposition) == ToName(aRow.mDisposition));
    CHECK(ToName(aResult.error().mError.mCode) == ToName(aRow.mCode));
  }
}

} // namespace bilberrytrail::tests
