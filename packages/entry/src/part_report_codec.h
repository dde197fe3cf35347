#pragma once

#include "placement_codec.h"

#include <bilberrytrail/platform/json_read.h>

namespace bilberrytrail {

// Fields of the evidence against parts and against whole requests.
inline constexpr const char* kPartsField = "parts";
inline constexpr const char* kWholeRequestsField = "requests";

// Adds the reports to a datagram. Most datagrams have none and lack the field.
void
AddPartReports(Json& aJson,
               const char* aField,
               const std::vector<PartReport>& aReports);

// Reads the reports of a datagram; marks the field as bad when one cannot be
// parsed.
[[nodiscard]] std::vector<PartReport>
ReadPartReports(JsonFields& aFields, const char* aField);

// Returns the evidence as reports, and back, at the sender's or receiver's
// time.
[[nodiscard]] std::vector<PartReport>
ToReports(const std::vector<PartEvidence>& aEvidence, Instant aNow);
[[nodiscard]] std::vector<PartEvidence>
ToEvidence(const std::vector<PartReport>& aReports, Instant aNow);

} // namespace bilberrytrail
