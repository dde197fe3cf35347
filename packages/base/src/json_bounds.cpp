#include <bilberrytrail/base/json_bounds.h>

namespace bilberrytrail {

namespace {

// Returns the offset of the quote that ends a string, or the end of the text.
std::size_t
EndOfString(std::string_view aText, std::size_t aBegin) noexcept
{
  std::size_t n = aBegin;
  while (n < aText.size() && aText[n] != '"') {
    n += aText[n] == '\\' ? 2 : 1;
  }
  return n;
}

} // namespace

bool
FitsJsonBounds(std::string_view aText) noexcept
{
  // Each value but the first follows one of these characters; some of them are
  // followed by none.
  std::size_t values = 1;
  std::size_t depth = 0;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    switch (aText[n]) {
      case '"':
        n = EndOfString(aText, n + 1);
        break;
      case '[':
      case '{':
        ++values;
        if (++depth > kMaxJsonDepth) {
          return false;
        }
        break;
      case ']':
      case '}':
        depth -= depth > 0 ? 1 : 0;
        break;
      case ',':
        ++values;
        break;
      default:
        break;
    }
  }
  return values <= kMaxJsonValues;
}

} // namespace bilberrytrail
