#include "common/fault.h"

namespace bilberrytrail::standins {

namespace {

constexpr const char* kDelayField = "delay_ms";
constexpr const char* kCountField = "count";

// Reads an optional number; 0 when it is not there.
std::uint64_t
ReadOptional(JsonFields& aFields, const char* aName)
{
  return aFields.Has(aName) ? aFields.Unsigned(aName) : 0;
}

} // namespace

void
FaultSwitch::Set(const Fault& aFault, std::uint64_t aCount)
{
  mFault = aFault;
  mRemaining = aCount;
}

Fault
FaultSwitch::Take()
{
  const Fault fault = mFault;
  if (mRemaining > 0 && --mRemaining == 0) {
    mFault = Fault();
  }
  return fault;
}

FaultTable::FaultTable(const std::vector<std::string>& aParts)
{
  for (const auto& part : aParts) {
    mParts[part] = FaultSwitch();
  }
}

FaultSwitch&
FaultTable::Of(const std::string& aPart)
{
  return mParts[aPart];
}

Result<void>
FaultTable::Set(const Json& aJson)
{
  JsonFields fields(aJson);
  const auto delayMillis = ReadOptional(fields, kDelayField);
  const auto count = ReadOptional(fields, kCountField);
  if (auto ok = fields.Check(); !ok) {
    return Fail(ErrorCode::InvalidInput, ok.error().mMessage);
  }
  std::map<std::string, FaultMode> modes;
  for (const auto& [name, value] : aJson.items()) {
    if (name == kDelayField || name == kCountField) {
      continue;
    }
    const auto mode = FromName<FaultMode>(fields.Text(name));
    if (!mode || !mParts.contains(name)) {
      return Fail(ErrorCode::InvalidInput, "unknown part or mode: " + name);
    }
    modes[name] = *mode;
  }
  const auto delay = FromMillis(static_cast<double>(delayMillis));
  for (const auto& [name, mode] : modes) {
    mParts[name].Set(Fault{ mode, delay }, count);
  }
  return Ok();
}

} // namespace bilberrytrail::standins
