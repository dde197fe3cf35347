#pragma once

#include <bilberrytrail/entry/site_replica.h>
#include <bilberrytrail/platform/json_fields.h>

#include <optional>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Path at which a daemon answers queries for rows, whatever their size.
inline constexpr const char* kRowsPath = "/site-rows";

// Rows of a table for another daemon.
struct ReplicaRows
{
  // True for all rows of the table, false for the changes after the requester's
  // version.
  bool mIsWhole = true;
  SiteRows mRows;
};

// Query for the rows of a table after a version.
struct RowsQuery
{
  SiteTable mTable = SiteTable::Operator;
  TableVersion mAfter;
};

// Answer to a RowsQuery.
struct RowsReply
{
  // Time for which the rows may have lacked changes; nothing when it is
  // unknown.
  std::optional<Duration> mLag;
  ReplicaRows mRows;
};

// Returns the rows of a table that a requester lacks; nothing if there are
// none.
[[nodiscard]] std::optional<ReplicaRows>
RowsSince(SiteTable aTable, TableVersion aVersion, const SiteReplica& aReplica);
// Returns the bytes that rows have at least, in any form.
[[nodiscard]] std::size_t
BytesOf(const ReplicaRows& aRows) noexcept;

// Row values are encoded as Base64, since they may be any bytes.
[[nodiscard]] Json
ToJson(const ReplicaRows& aRows);
[[nodiscard]] Result<ReplicaRows>
ReadReplicaRows(const Json& aJson);

[[nodiscard]] std::string
EncodeRowsQuery(const RowsQuery& aQuery);
// These fail with Corrupt when the bytes cannot be parsed.
[[nodiscard]] Result<RowsQuery>
DecodeRowsQuery(std::string_view aBytes);
// Encodes rows, compressed. The result serves all daemons that lack the same.
[[nodiscard]] std::string
EncodeRows(const ReplicaRows& aRows);
[[nodiscard]] std::string
EncodeRowsReply(std::optional<Duration> aLag, std::string_view aEncodedRows);
[[nodiscard]] Result<RowsReply>
DecodeRowsReply(std::string_view aBytes);

} // namespace bilberrytrail
