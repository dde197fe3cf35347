#pragma once

#include <bilberrytrail/base/ids.h>
#include <bilberrytrail/entry/site_replica.h>
#include <bilberrytrail/runtime/rpc.h>

#include <map>
#include <optional>

namespace bilberrytrail {

// RPC method by which a daemon requests another's replica of the tables.
inline constexpr std::string_view kReplicaMethod = "site.image";

// Request for newer rows to another daemon, as while the table service does not
// answer.
struct ReplicaQuery
{
  // Versions of the requester's replicas.
  TableVersion mOperatorVersion;
  TableVersion mServersVersion;
};

// Rows of a table for another daemon.
struct ReplicaRows
{
  // True for all rows of the table, false for the changes after the requester's
  // version.
  bool mIsWhole = true;
  SiteRows mRows;
};

// The tables of which the other daemon has a newer replica.
struct ReplicaReply
{
  // The table service answered that daemon's last call.
  bool mIsTableReachable = false;
  // Time since that daemon's replica was confirmed.
  Duration mAge{};
  // Time for which that daemon's rows of the operator's table may have lacked
  // changes; nothing when it is unknown.
  std::optional<Duration> mLag;
  std::optional<ReplicaRows> mOperator;
  std::optional<ReplicaRows> mServers;
};

[[nodiscard]] Json
ToJson(const ReplicaQuery& aQuery);
[[nodiscard]] Result<ReplicaQuery>
ReadReplicaQuery(const Json& aJson);
// Row values are encoded as Base64, since they may be any bytes.
[[nodiscard]] Json
ToJson(const ReplicaReply& aReply);
[[nodiscard]] Result<ReplicaReply>
ReadReplicaReply(const Json& aJson);

// Returns the reply to a query.
[[nodiscard]] ReplicaReply
AnswerReplicaQuery(const ReplicaQuery& aQuery,
                   const SiteReplica& aReplica,
                   bool aIsTableReachable,
                   Duration aAge,
                   std::optional<Duration> aLag = std::nullopt);

} // namespace bilberrytrail
