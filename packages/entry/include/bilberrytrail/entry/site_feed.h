#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/entry/server_record.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bilberrytrail {

// Tables that every daemon follows.
enum class SiteTable : unsigned char
{
  // Written by the operator: the configuration and the weights to load.
  Operator,
  // Written by the backend servers: a row for each.
  Servers
};

template<>
struct EnumNames<SiteTable>
{
  static constexpr std::array<std::string_view, 2> kNames{ "operator",
                                                           "servers" };
};

// A version of the table service. Its number grows with each change of any row.
// When the service comes back from an older copy, numbers are given out again
// in a new, higher era, so that numbers of different eras cannot be compared.
class TableVersion
{
public:
  // The era is 0 if the table service has none. Implicit, since versions of
  // one era are just numbers.
  constexpr TableVersion(std::uint64_t aNumber = 0,
                         std::uint64_t aEra = 0) noexcept
    : mEra(aEra)
    , mNumber(aNumber)
  {
  }

  [[nodiscard]] constexpr std::uint64_t Era() const noexcept { return mEra; }
  [[nodiscard]] constexpr std::uint64_t Number() const noexcept
  {
    return mNumber;
  }
  // Returns whether a table was read at all.
  [[nodiscard]] constexpr bool IsKnown() const noexcept { return mNumber > 0; }

  constexpr auto operator<=>(const TableVersion&) const noexcept = default;

private:
  // Compared first.
  std::uint64_t mEra;
  std::uint64_t mNumber;
};

// A version for each table that daemons follow.
using TableVersions = std::array<TableVersion, EnumCount<SiteTable>()>;

// A row of such a table, or its removal.
struct SiteRow
{
  std::string mKey;
  std::string mValue;
  // Version of the table service at the row's last change, in the era in which
  // the row was read.
  TableVersion mVersion;
  bool mRemoved = false;

  bool operator==(const SiteRow&) const = default;
};

// Rows at a version of the table service.
struct SiteRows
{
  std::vector<SiteRow> mRows;
  TableVersion mVersion;
  // Time on the table service's clock, in milliseconds, at which it was first
  // read with these rows, as far as known.
  std::optional<std::uint64_t> mTableMs = std::nullopt;
};

// Reads the tables and their changes. The error code NotFound means that the
// requested changes are not known, so that all rows must be read again.
class SiteFeed
{
public:
  virtual ~SiteFeed() = default;

  // Reads all rows of a table.
  [[nodiscard]] virtual CallResult<SiteRows> ReadAll(
    SiteTable aTable,
    const AnswerLimits& aLimits) = 0;
  // Returns the changes after a version as soon as there are any, or none after
  // aWait. Fails with NotFound when the table service answers in another era.
  [[nodiscard]] virtual CallResult<SiteRows> ReadChanges(
    SiteTable aTable,
    TableVersion aAfter,
    Duration aWait,
    const AnswerLimits& aLimits) = 0;
  // Makes later calls open new connections: those that are idle may have fallen
  // silent.
  virtual void Reconnect() = 0;
};

// Content of a row; an Error when it cannot be parsed.
using ParsedSiteRow =
  std::variant<Error, SiteConfig, WeightTarget, ServerRecord, ZoneEvacuation>;

// Parses the rows of the tables.
class SiteReader
{
public:
  virtual ~SiteReader() = default;

  [[nodiscard]] virtual ParsedSiteRow Read(SiteTable aTable,
                                           const SiteRow& aRow) const = 0;
};

} // namespace bilberrytrail
