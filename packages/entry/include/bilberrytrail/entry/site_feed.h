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
  // What the operator wrote: the configuration and the weights to load.
  Operator,
  // What the backend servers wrote of themselves.
  Servers
};

template<>
struct EnumNames<SiteTable>
{
  static constexpr std::array<std::string_view, 2> kNames{ "operator",
                                                           "servers" };
};

// One row of such a table, or the news that it was removed.
struct SiteRow
{
  std::string mKey;
  std::string mValue;
  // Grows with each change of any row of the table service.
  std::uint64_t mVersion = 0;
  bool mRemoved = false;

  bool operator==(const SiteRow&) const = default;
};

// Rows as of a version of the table service.
struct SiteRows
{
  std::vector<SiteRow> mRows;
  std::uint64_t mVersion = 0;
};

// Reads and follows the tables. An error with the code NotFound says that the
// changes asked for are no longer kept, so that all rows must be read.
class SiteFeed
{
public:
  virtual ~SiteFeed() = default;

  // Reads all rows of a table.
  [[nodiscard]] virtual CallResult<SiteRows> ReadAll(SiteTable aTable,
                                                     Duration aTimeout) = 0;
  // Returns what changed behind a version as soon as there is something, or
  // nothing after aWait.
  [[nodiscard]] virtual CallResult<SiteRows> ReadChanges(SiteTable aTable,
                                                         std::uint64_t aAfter,
                                                         Duration aWait,
                                                         Duration aTimeout) = 0;
};

// What one row says. An Error names no fact; the others hold.
using ParsedSiteRow =
  std::variant<Error, SiteConfig, WeightTarget, ServerRecord>;

// Reads the rows of the tables.
class SiteReader
{
public:
  virtual ~SiteReader() = default;

  [[nodiscard]] virtual ParsedSiteRow Read(SiteTable aTable,
                                           const SiteRow& aRow) const = 0;
};

} // namespace bilberrytrail
