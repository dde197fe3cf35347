#pragma once

#include "placement_codec.h"

#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

// Adds the reports to a datagram. Most datagrams have none and lack the field.
void
AddPartReports(Json& aJson, const std::vector<PartReport>& aReports);

// Reads the reports of a datagram; marks the field as bad when one cannot be
// parsed.
[[nodiscard]] std::vector<PartReport>
ReadPartReports(JsonFields& aFields);

// Returns the evidence as reports, and back, at the sender's or receiver's
// time.
[[nodiscard]] std::vector<PartReport>
ToReports(const std::vector<PartEvidence>& aEvidence, Instant aNow);
[[nodiscard]] std::vector<PartEvidence>
ToEvidence(const std::vector<PartReport>& aReports, Instant aNow);

} // namespace bilberrytrail
