#pragma once

#include <string>
#include <vector>

namespace bilberrytrail {

// Rows of text in aligned columns.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeads);

  [[nodiscard]] std::string Render() const;

  // Adds a row with as many cells as there are heads.
  void Add(std::vector<std::string> aCells);

private:
  std::vector<std::vector<std::string>> mRows;
};

} // namespace bilberrytrail
