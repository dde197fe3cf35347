#pragma once

#include "peer_replicas.h"

#include <bilberrytrail/base/ids.h>

#include <array>
#include <optional>
#include <set>

namespace bilberrytrail {

// RPC method by which a daemon asks another one what is new at the site. The
// answer is small, so that it is always in time: rows that are not small are
// named only, and read by a call of their own.
inline constexpr std::string_view kNoticeMethod = "site.notice";

// Query of a daemon to its relay, or to any other daemon while the table
// service does not answer.
struct NoticeQuery
{
  // Versions of the requester's replicas.
  std::array<TableVersion, EnumCount<SiteTable>()> mVersions;
  // Versions up to which the requester knows of changes, since it has them or
  // is reading them. The answer comes once there are newer ones.
  std::array<TableVersion, EnumCount<SiteTable>()> mKnown;
  // Longest wait for newer ones.
  Duration mWait{};
  // The requester relies on the daemon that it asks.
  bool mFollows = false;
};

// What another daemon has of a table.
struct TableNotice
{
  TableVersion mVersion;
  // Version of the last change of its rows.
  TableVersion mChanged;
  // Time for which the daemon's rows may have lacked changes; nothing when it
  // is unknown.
  std::optional<Duration> mLag;
  // The rows that the requester lacks, if they are small.
  std::optional<ReplicaRows> mRows;
};

// Servers that are loading weights, and the time since the daemon was told.
struct LoadingNotice
{
  std::set<ServerId> mServers;
  Duration mAge{};
};

// The answer.
struct SiteNotice
{
  // The table service answers the daemon.
  bool mIsTableReachable = false;
  // Time for which the daemon has kept the query waiting.
  Duration mHeld{};
  std::array<TableNotice, EnumCount<SiteTable>()> mTables;
  // Nothing when the daemon was not told of late.
  std::optional<LoadingNotice> mLoading;
};

[[nodiscard]] Json
ToJson(const NoticeQuery& aQuery);
[[nodiscard]] Result<NoticeQuery>
ReadNoticeQuery(const Json& aJson);
[[nodiscard]] Json
ToJson(const SiteNotice& aNotice);
[[nodiscard]] Result<SiteNotice>
ReadSiteNotice(const Json& aJson);

} // namespace bilberrytrail
