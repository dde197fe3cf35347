#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/entry/site_replica.h>
#include <bilberrytrail/runtime/rpc.h>

#include <map>
#include <optional>

namespace bilberrytrail {

// Name of the call by which a daemon asks another for its copy of the tables.
inline constexpr std::string_view kReplicaMethod = "site.image";

// What a daemon that the table service turns away asks of another.
struct ReplicaQuery
{
  // Versions of the asker's copies.
  std::uint64_t mOperatorVersion = 0;
  std::uint64_t mServersVersion = 0;
};

// A table's rows for another daemon.
struct ReplicaRows
{
  // All rows of the table; else what changed behind the asker's version.
  bool mIsWhole = true;
  SiteRows mRows;
};

// The other daemon's copies, those that are newer than the asker's.
struct ReplicaReply
{
  // The table service answered that daemon of late.
  bool mIsTableReachable = false;
  // How long ago that daemon's copies were confirmed.
  Duration mAge{};
  std::optional<ReplicaRows> mOperator;
  std::optional<ReplicaRows> mServers;
};

[[nodiscard]] Json
ToJson(const ReplicaQuery& aQuery);
[[nodiscard]] Result<ReplicaQuery>
ReadReplicaQuery(const Json& aJson);
// Row values travel as Base64, since they may be any bytes.
[[nodiscard]] Json
ToJson(const ReplicaReply& aReply);
[[nodiscard]] Result<ReplicaReply>
ReadReplicaReply(const Json& aJson);

// Returns the reply to a query.
[[nodiscard]] ReplicaReply
AnswerReplicaQuery(const ReplicaQuery& aQuery,
                   const SiteReplica& aReplica,
                   bool aIsTableReachable,
                   Duration aAge);

} // namespace bilberrytrail
