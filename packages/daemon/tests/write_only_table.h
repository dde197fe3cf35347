#pragma once

#include <bilberrytrail/platform/table_service.h>

#include <optional>
#include <string>
#include <vector>

namespace bilberrytrail {

// Base of fake tables whose rows are written and never read.
class WriteOnlyTable : public TableService
{
public:
  CallResult<std::optional<TableRow>> Read(const std::string& /*aKey*/,
                                           Duration /*aTimeout*/) override
  {
    return std::optional<TableRow>();
  }

  CallResult<std::vector<TableRow>> Scan(const std::string& /*aPrefix*/,
                                         std::size_t /*aLimit*/,
                                         Duration /*aTimeout*/) override
  {
    return std::vector<TableRow>();
  }
};

} // namespace bilberrytrail
