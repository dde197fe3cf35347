#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/time.h>

#include <array>
#include <string_view>

namespace bilberrytrail {

// Ways on which rows of the tables come to this daemon.
enum class SiteWay : unsigned char
{
  // From the table service.
  Table,
  // From the relay of the availability zone.
  Relay,
  // From any other daemon, while the table service does not answer.
  Peer
};

template<>
struct EnumNames<SiteWay>
{
  static constexpr std::array<std::string_view, 3> kNames{ "table",
                                                           "relay",
                                                           "peer" };
};

// What shows that a view is the one in force.
struct SiteEvidence
{
  // The time before which the view lacks no change, on the boot clock: an
  // answer that was asked for at this time or later has shown it. The epoch
  // before the first evidence.
  Instant mCompleteAt;
  // The way on which that answer came.
  SiteWay mWay = SiteWay::Table;
};

} // namespace bilberrytrail
