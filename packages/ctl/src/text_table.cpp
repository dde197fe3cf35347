#include "text_table.h"

#include <algorithm>
#include <utility>

namespace bilberrytrail {

TextTable::TextTable(std::vector<std::string> aHeaders)
{
  mRows.push_back(std::move(aHeaders));
}

void
TextTable::Add(std::vector<std::string> aCells)
{
  aCells.resize(mRows.front().size());
  mRows.push_back(std::move(aCells));
}

std::string
TextTable::Render() const
{
  std::vector<std::size_t> widths(mRows.front().size());
  for (const auto& row : mRows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      widths[n] = std::max(widths[n], row[n].size());
    }
  }
  std::string text;
  for (const auto& row : mRows) {
    for (std::size_t n = 0; n < row.size(); ++n) {
      const bool isLast = n + 1 == row.size();
      text += row[n];
      text += isLast ? "\n" : std::string(widths[n] - row[n].size() + 2, ' ');
    }
  }
  return text;
}

} // namespace bilberrytrail
