#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/endpoint.h>
#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/base/time.h>

#include <string>
#include <vector>

namespace bilberrytrail {

// Role of a VM in the list.
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

// One VM as reported by the platform's list, which can lag by seconds.
struct VmEntry
{
  std::string mName;
  VmRole mRole = VmRole::Entry;
  // Product that owns the backend server; empty for entry VMs.
  ProductId mProduct;
  // Group of equivalent backend servers: the order service's name, or empty.
  std::string mGroup;
  ZoneId mZone;
  Endpoint mEndpoint;
  bool mLeaving = false;
  // The backend server rejects orders with an old fencing number.
  bool mChecksFencing = false;

  bool operator==(const VmEntry&) const = default;
};

// One response of the list service.
struct VmListAnswer
{
  // The list is still the one with the requested tag; mVms is empty.
  bool mIsUnchanged = false;
  std::vector<VmEntry> mVms;
  // Entity tag of the list; empty when the service sends none.
  std::string mTag;
};

// The platform's list of live and leaving VMs.
class VmList
{
public:
  virtual ~VmList() = default;

  // Reads the list. Returns an unchanged response without VMs when it is still
  // the one with the tag; an empty tag always returns the whole list.
  [[nodiscard]] virtual CallResult<VmListAnswer> Fetch(const std::string& aTag,
                                                       Duration aTimeout) = 0;
};

} // namespace bilberrytrail
