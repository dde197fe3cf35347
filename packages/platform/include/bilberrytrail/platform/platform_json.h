#pragma once

#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/platform/table_service.h>
#include <bilberrytrail/platform/vm_list.h>

#include <vector>

// JSON forms of the platform's messages, shared by the HTTP adapters and the
// stand-ins for the platform. Readers fail with Corrupt.
namespace bilberrytrail {

[[nodiscard]] Json
ToJson(const TableRow& aRow);
[[nodiscard]] Result<TableRow>
ReadTableRow(const Json& aJson);
[[nodiscard]] Json
ToJson(const std::vector<TableRow>& aRows);
[[nodiscard]] Result<std::vector<TableRow>>
ReadTableRows(const Json& aList);

[[nodiscard]] Json
ToJson(const TableWrite& aWrite);
[[nodiscard]] Result<TableWrite>
ReadTableWrite(const Json& aJson);

[[nodiscard]] Json
ToJson(const CommitOutcome& aOutcome);
[[nodiscard]] Result<CommitOutcome>
ReadCommitOutcome(const Json& aJson);

[[nodiscard]] Json
ToJson(const VmEntry& aEntry);
[[nodiscard]] Result<VmEntry>
ReadVmEntry(const Json& aJson);

} // namespace bilberrytrail
