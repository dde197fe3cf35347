#pragma once

#include "fleet/row_table.h"

namespace bilberrytrail::standins {

// What the door to the table service does to the calls of one daemon.
enum class DoorFault : unsigned char
{
  None,
  // Answers 503: nothing is done.
  Busy,
  // Answers 429: nothing is done.
  Many,
  // Answers late.
  Slow,
  // Breaks answers off in the middle.
  CutsAnswers,
  // Does what is asked and answers nothing on that connection any more.
  LosesAnswers
};

// The way of one daemon into the table service.
class TableDoor final : public HttpHandler
{
public:
  TableDoor(Loop& aLoop, RowTable& aTable)
    : mLoop(aLoop)
    , mTable(aTable)
  {
  }

  // aDelay is the time by which answers are late.
  void SetFault(DoorFault aFault, Duration aDelay = Duration(0)) noexcept
  {
    mFault = aFault;
    mDelay = aDelay;
  }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  Loop& mLoop;
  RowTable& mTable;
  DoorFault mFault = DoorFault::None;
  Duration mDelay{};
};

} // namespace bilberrytrail::standins
