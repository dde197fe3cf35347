#include "part_report_codec.h"

namespace bilberrytrail {

namespace {

// Evidence that is older is rejected when read.
constexpr Duration kMaxAge = 3600s;

Json
ToJson(const PartReport& aReport)
{
  Json json{ { "part", aReport.mPart.Value() },
             { "place", aReport.mPlace },
             { "deaths",
               ToJsonList(aReport.mDeaths, [](const PartDeathReport& aDeath) {
                 return Json{ { "id", aDeath.mDeath.Value() },
                              { "age_ms", ToMillis(aDeath.mAge) } };
               }) } };
  if (aReport.mSoundAge) {
    json["sound_ms"] = ToMillis(*aReport.mSoundAge);
  }
  return json;
}

Duration
ReadAge(JsonFields& aFields, std::string_view aField)
{
  const double age = aFields.Real(aField);
  if (age >= 0 && age <= ToMillis(kMaxAge)) {
    return FromMillis(age);
  }
  aFields.Reject(aField);
  return Duration(0);
}

Result<PartDeathReport>
ReadDeath(const Json& aJson)
{
  JsonFields fields(aJson);
  PartDeathReport death;
  death.mDeath = DeathId(fields.Unsigned("id"));
  death.mAge = ReadAge(fields, "age_ms");
  return Checked(fields, death);
}

Result<PartReport>
ReadReport(const Json& aJson)
{
  JsonFields fields(aJson);
  PartReport report;
  report.mPart = PartKey(fields.Unsigned("part"));
  report.mPlace = fields.Unsigned32("place");
  report.mDeaths = ReadListField(fields, "deaths", ReadDeath);
  if (fields.Has("sound_ms")) {
    report.mSoundAge = ReadAge(fields, "sound_ms");
  }
  return Checked(fields, std::move(report));
}

} // namespace

void
AddPartReports(Json& aJson,
               const char* aField,
               const std::vector<PartReport>& aReports)
{
  if (!aReports.empty()) {
    aJson[aField] = ToJsonList(
      aReports, [](const PartReport& aReport) { return ToJson(aReport); });
  }
}

std::vector<PartReport>
ReadPartReports(JsonFields& aFields, const char* aField)
{
  return aFields.Has(aField) ? ReadListField(aFields, aField, ReadReport)
                             : std::vector<PartReport>();
}

std::vector<PartReport>
ToReports(const std::vector<PartEvidence>& aEvidence, Instant aNow)
{
  std::vector<PartReport> reports;
  for (const auto& it : aEvidence) {
    auto& report = reports.emplace_back();
    report.mPart = it.mPart;
    report.mPlace = it.mPlace;
    if (it.mSoundAt && aNow - *it.mSoundAt <= kMaxAge) {
      report.mSoundAge = aNow - *it.mSoundAt;
    }
    for (const auto& death : it.mDeaths) {
      report.mDeaths.push_back({ death.mDeath, aNow - death.mAt });
    }
  }
  return reports;
}

std::vector<PartEvidence>
ToEvidence(const std::vector<PartReport>& aReports, Instant aNow)
{
  std::vector<PartEvidence> evidence;
  for (const auto& it : aReports) {
    auto& part = evidence.emplace_back();
    part.mPart = it.mPart;
    part.mPlace = it.mPlace;
    if (it.mSoundAge) {
      part.mSoundAt = aNow - *it.mSoundAge;
    }
    for (const auto& death : it.mDeaths) {
      part.mDeaths.push_back({ death.mDeath, aNow - death.mAge });
    }
  }
  return evidence;
}

} // namespace bilberrytrail
