#pragma once

#include <string>
#include <vector>

namespace bilberrytrail {

// Renders rows of text in aligned columns below a header row.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeaders);

  [[nodiscard]] std::string Render() const;

  // Adds a row, padded with empty cells or truncated to the number of headers.
  void Add(std::vector<std::string> aCells);

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace bilberrytrail
