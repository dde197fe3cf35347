#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/vm_list.h>

#include <map>
#include <string>
#include <vector>

namespace bilberrytrail {

// Word that a VM leaves.
struct DepartureNotice
{
  std::string mName;
  // Where the VM listens: another VM with the same name has replaced it.
  Endpoint mEndpoint;
  // Time for which the word still holds.
  Duration mRemaining{};
};

// Remembers which VMs leave, by word of other daemons and by lists, for a
// stated time: a list that lags doesn't take the word back. A VM that is
// listed at another endpoint is a new one and no longer meant.
class DepartureNotices
{
public:
  explicit DepartureNotices(Duration aHold);

  // Time for which a fresh word holds.
  [[nodiscard]] Duration Hold() const noexcept { return mHold; }
  // Takes a word, for the time that it names and at most the hold time.
  // Returns true when it was not known.
  bool Record(const DepartureNotice& aWord, Instant aNow);
  // Takes the VMs that a list shows as leaving, and drops words of VMs that
  // it shows as replaced.
  void OnList(const std::vector<VmEntry>& aVms, Instant aNow);
  // Drops words whose time has passed; returns true when there were any.
  bool Expire(Instant aNow);
  // True when a word of the VM holds.
  [[nodiscard]] bool Has(const VmEntry& aVm) const;
  // Returns the words that hold, for other daemons.
  [[nodiscard]] std::vector<DepartureNotice> Active(Instant aNow) const;

private:
  struct Word
  {
    Endpoint mEndpoint;
    Instant mEnd;
  };

  Duration mHold;
  std::map<std::string, Word> mWords;
};

} // namespace bilberrytrail
