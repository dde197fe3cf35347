#include <bilberrytrail/platform/platform_json.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

VmEntry
MakeEntry()
{
  VmEntry entry;
  entry.mName = "e1";
  entry.mRole = VmRole::Engine;
  entry.mProduct = ProductId("brotlag");
  entry.mGroup = "assistant";
  entry.mZone = ZoneId("nordur-1");
  entry.mEndpoint = { "10.0.0.1", 65535 };
  entry.mLeaving = true;
  entry.mChecksFencing = true;
  return entry;
}

} // namespace

TEST_CASE("a VM entry survives a round trip through JSON")
{
  const auto entry = MakeEntry();
  const auto read = ReadVmEntry(ToJson(entry));
  REQUIRE(read.has_value());
  CHECK(read.value().mName == entry.mName);
  CHECK(read.value().mRole == entry.mRole);
  CHECK(read.value().mProduct == entry.mProduct);
  CHECK(read.value().mGroup == entry.mGroup);
  CHECK(read.value().mZone == entry.mZone);
  CHECK(read.value().mEndpoint == entry.mEndpoint);
  CHECK(read.value().mLeaving);
  CHECK(read.value().mChecksFencing);
}

TEST_CASE("reading a VM entry with a bad field fails with Corrupt")
{
  struct Row
  {
    const char* mField;
    Json mValue;
  };
  const Row rows[] = { { "role", "driver" }, { "role", 1 },
                       { "port", 65536 },    { "port", -1 },
                       { "leaving", "no" },  { "zone", nullptr },
                       { "host", 7 },        { "product", Json({}) } };
  for (const auto& row : rows) {
    CAPTURE(row.mField);
    auto json = ToJson(MakeEntry());
    json[row.mField] = row.mValue;
    const auto read = ReadVmEntry(json);
    REQUIRE_FALSE(read.has_value());
    CHECK(read.error().mCode == ErrorCode::Corrupt);
  }
}

TEST_CASE("64-bit numbers keep their exact value through JSON")
{
  const TableRow row{ "k", "v", 0xffff'ffff'ffff'ffffULL };
  const auto text = WriteJson(ToJson(row));
  const auto read = ReadTableRow(ParseJson(text.value()).value());
  CHECK(read.value().mVersion == row.mVersion);
}

TEST_CASE("a table write survives a round trip through JSON")
{
  for (const bool isErase : { false, true }) {
    const TableWrite write{ "k", "v", 7, isErase };
    const auto read = ReadTableWrite(ToJson(write));
    REQUIRE(read.has_value());
    CHECK(read.value().mExpectedVersion == 7);
    CHECK(read.value().mErase == isErase);
  }
}
