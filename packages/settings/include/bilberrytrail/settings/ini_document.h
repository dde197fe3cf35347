#pragma once

#include <bilberrytrail/base/error.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// One "key = value" line of an INI text, with the line it stands on.
struct IniEntry
{
  std::string mSection;
  std::string mKey;
  std::string mValue;
  int mLine = 0;
};

// Reads an INI text. Comments begin with ';' or '#' at the start of a line.
// Fails with InvalidInput and "name:line: what was expected" when a line is
// neither a section, an entry, a comment nor blank.
[[nodiscard]] Result<std::vector<IniEntry>>
ParseIni(std::string_view aText, std::string_view aName);

} // namespace bilberrytrail
