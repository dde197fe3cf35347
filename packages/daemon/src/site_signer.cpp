#include "site_signer.h"

#include <bilberrytrail/base/digest.h>

namespace bilberrytrail {

SiteSigner::SiteSigner(std::string aSiteKey, DaemonId aSelf)
  : mSiteKey(std::move(aSiteKey))
  , mSelf(std::move(aSelf))
{
}

std::string
SiteSigner::Sign(const DaemonId& aReceiver, std::string_view aBody)
{
  return mSelf.Text() + " " + Mac(mSelf.Text(), aReceiver.Text(), aBody);
}

Result<DaemonId>
SiteSigner::Check(std::string_view aSignature, std::string_view aBody)
{
  const auto space = aSignature.find(' ');
  if (space == std::string_view::npos) {
    return Fail(ErrorCode::Unauthorized, "no signature");
  }
  const auto sender = aSignature.substr(0, space);
  const auto mac = aSignature.substr(space + 1);
  if (!ConstantTimeEqual(mac, Mac(sender, mSelf.Text(), aBody)) &&
      !ConstantTimeEqual(mac, Mac(sender, {}, aBody))) {
    return Fail(ErrorCode::Unauthorized, "the signature does not match");
  }
  return DaemonId(std::string(sender));
}

std::string
SiteSigner::Mac(std::string_view aSender,
                std::string_view aReceiver,
                std::string_view aBody) const
{
  std::string text;
  text.append(aSender).append("\n").append(aReceiver).append("\n").append(
    aBody);
  return HmacSha256Hex(mSiteKey, text);
}

} // namespace bilberrytrail
