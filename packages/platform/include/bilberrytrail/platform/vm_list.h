#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <string>
#include <vector>

namespace bilberrytrail {

// What a VM of the list is for.
enum class VmRole : unsigned char
{
  Entry,
  Engine,
  Store,
  Service
};

template<>
struct EnumNames<VmRole>
{
  static constexpr std::array<std::string_view, 4> kNames{ "entry",
                                                           "engine",
                                                           "store",
                                                           "service" };
};

// One VM as the platform's list reports it, seconds late at times.
struct VmEntry
{
  std::string mName;
  VmRole mRole = VmRole::Entry;
  // Product that owns the backend server; empty for entry VMs.
  ProductId mProduct;
  // Group of alike backend servers: the order service's name, or empty.
  std::string mGroup;
  ZoneId mZone;
  Endpoint mEndpoint;
  bool mLeaving = false;
  // The backend server rejects orders with an old fencing number.
  bool mChecksFencing = false;

  bool operator==(const VmEntry&) const = default;
};

// One answer of the list service.
struct VmListAnswer
{
  // The list is the one that the tag was given with; the VMs are left out.
  bool mIsUnchanged = false;
  std::vector<VmEntry> mVms;
  // The service's name for this state of the list; empty when it gives none.
  std::string mTag;
};

// The platform's list of live and leaving VMs.
class VmList
{
public:
  virtual ~VmList() = default;

  // Reads the list: whole, or only that it is still the one with the tag. An
  // empty tag always brings the whole list.
  [[nodiscard]] virtual CallResult<VmListAnswer> Fetch(const std::string& aTag,
                                                       Duration aTimeout) = 0;
};

} // namespace bilberrytrail
