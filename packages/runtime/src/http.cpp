#include <bilberrytrail/runtime/http.h>

#include <boost/beast/core/string.hpp>

namespace bilberrytrail {

std::string_view
FindHeader(const HttpHeaders& aHeaders, std::string_view aName) noexcept
{
  for (const auto& header : aHeaders) {
    if (boost::beast::iequals(header.mName, aName)) {
      return header.mValue;
    }
  }
  return {};
}

} // namespace bilberrytrail
