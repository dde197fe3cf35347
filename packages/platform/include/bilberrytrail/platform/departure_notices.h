#pragma once

#include <bilberrytrail/base/time.h>
#include <bilberrytrail/platform/vm_list.h>

#include <map>
#include <string>
#include <vector>

namespace bilberrytrail {

// A notice that a VM is leaving.
struct DepartureNotice
{
  std::string mName;
  // Endpoint of the leaving VM. A VM of the same name at another endpoint is
  // its replacement.
  Endpoint mEndpoint;
  // Time until the notice expires.
  Duration mRemaining{};
};

// Records which VMs are leaving, as reported by other daemons and by the
// platform's list, for a limited time. A list that lags and doesn't show a VM
// as leaving doesn't revoke its notice. A VM that is listed at another endpoint
// is a replacement, so the notice no longer applies.
class DepartureNotices
{
public:
  explicit DepartureNotices(Duration aRetention);

  // Time for which a new notice is kept.
  [[nodiscard]] Duration Retention() const noexcept { return mRetention; }
  // Records a notice for its remaining time, at most the retention time.
  // Returns true when there was none for this VM and endpoint.
  bool Record(const DepartureNotice& aNotice, Instant aNow);
  // Records notices for the VMs that a list shows as leaving, and drops those
  // of VMs that it shows as replaced.
  void OnList(const std::vector<VmEntry>& aVms, Instant aNow);
  // Drops expired notices; returns true when there were any.
  bool Expire(Instant aNow);
  // Returns true when there is a notice for the VM at its endpoint.
  [[nodiscard]] bool Has(const VmEntry& aVm) const;
  // Returns the notices that have not expired, to be sent to other daemons.
  [[nodiscard]] std::vector<DepartureNotice> Active(Instant aNow) const;

private:
  struct Notice
  {
    Endpoint mEndpoint;
    Instant mExpiresAt;
  };

  Duration mRetention;
  std::map<std::string, Notice> mNotices;
};

} // namespace bilberrytrail
