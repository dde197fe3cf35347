#pragma once

#include <bilberrytrail/base/call.h>
#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/entry/server_record.h>

#include <cstdint>
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

// A row of such a table, or its removal.
struct SiteRow
{
  std::string mKey;
  std::string mValue;
  // Version of the table service at the row's last change; it grows with each
  // change of any row.
  std::uint64_t mVersion = 0;
  bool mRemoved = false;

  bool operator==(const SiteRow&) const = default;
};

// Rows at a version of the table service.
struct SiteRows
{
  std::vector<SiteRow> mRows;
  std::uint64_t mVersion = 0;
};

// Reads the tables and their changes. The error code NotFound means that the
// requested changes are no longer kept, so that all rows must be read again.
class SiteFeed
{
public:
  virtual ~SiteFeed() = default;

  // Reads all rows of a table.
  [[nodiscard]] virtual CallResult<SiteRows> ReadAll(SiteTable aTable,
                                                     Duration aTimeout) = 0;
  // Returns the changes after a version as soon as there are any, or none after
  // aWait.
  [[nodiscard]] virtual CallResult<SiteRows> ReadChanges(SiteTable aTable,
                                                         std::uint64_t aAfter,
                                                         Duration aWait,
                                                         Duration aTimeout) = 0;
};

// Content of a row; an Error when it cannot be parsed.
using ParsedSiteRow =
  std::variant<Error, SiteConfig, WeightTarget, ServerRecord>;

// Parses the rows of the tables.
class SiteReader
{
public:
  virtual ~SiteReader() = default;

  [[nodiscard]] virtual ParsedSiteRow Read(SiteTable aTable,
                                           const SiteRow& aRow) const = 0;
};

} // namespace bilberrytrail
