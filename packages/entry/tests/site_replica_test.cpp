#include <bilberrytrail/entry/site_replica.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

constexpr auto kServers = SiteTable::Servers;

Instant
At(Duration aTime)
{
  return Instant() + 1000s + aTime;
}

SiteRow
Row(std::string aKey, std::uint64_t aVersion, std::string aValue = "v")
{
  return { std::move(aKey), std::move(aValue), aVersion, false };
}

SiteRow
Removed(std::string aKey, std::uint64_t aVersion)
{
  return { std::move(aKey), {}, aVersion, true };
}

// An image that has been in reach of the table service for long.
SiteImage
CalmImage()
{
  SiteImage image;
  image.OnContact(At(-100s));
  (void)image.Replace(kServers, { { Row("a", 1), Row("b", 2) }, 2 }, At(0s));
  return image;
}

bool
Has(const SiteImage& aImage, const std::string& aKey)
{
  for (const auto& it : aImage.Rows(kServers)) {
    if (it.mKey == aKey) {
      return true;
    }
  }
  return false;
}

} // namespace

TEST_CASE("a copy never goes back to an older version")
{
  SiteImage image;
  const auto table = SiteTable::Operator;
  CHECK(image.Replace(table, { { Row("config", 7, "new") }, 9 }, At(0s)));
  CHECK_FALSE(image.Replace(table, { { Row("config", 5, "old") }, 5 }, At(1s)));
  CHECK_FALSE(image.Merge(table, { { Row("config", 6, "old") }, 6 }, At(1s)));
  CHECK(image.Version(table) == 9);
  CHECK(image.Rows(table).front().mValue == "new");
}

TEST_CASE("a server that is removed in calm times is gone at once")
{
  auto image = CalmImage();
  CHECK(image.Merge(kServers, { { Removed("a", 3) }, 3 }, At(1s)));
  CHECK_FALSE(Has(image, "a"));
  CHECK(Has(image, "b"));
}

TEST_CASE("servers that lapse in an outage stay until they could be back")
{
  struct Case
  {
    const char* mName;
    bool mComesBack;
    bool mByFullRead;
  };
  for (const Case& it : { Case{ "gone, by changes", false, false },
                          Case{ "gone, by a full read", false, true },
                          Case{ "back", true, false } }) {
    CAPTURE(it.mName);
    auto image = CalmImage();
    image.OnOutage();
    image.OnContact(At(10s));
    if (it.mByFullRead) {
      (void)image.Replace(kServers, { { Row("b", 2) }, 5 }, At(10s));
    } else {
      (void)image.Merge(kServers, { { Removed("a", 3) }, 5 }, At(10s));
    }
    CHECK(Has(image, "a"));
    CHECK_FALSE(image.Expire(At(10s) + SiteImage::kReturnTime - 1ms));
    if (it.mComesBack) {
      CHECK(image.Merge(kServers, { { Row("a", 8) }, 8 }, At(11s)));
    }
    CHECK(image.Expire(At(10s) + SiteImage::kReturnTime) != it.mComesBack);
    CHECK(Has(image, "a") == it.mComesBack);
  }
}

TEST_CASE("a copy for another daemon leaves out what has lapsed")
{
  auto image = CalmImage();
  image.OnOutage();
  (void)image.Merge(kServers, { { Removed("a", 3) }, 3 }, At(1s));
  CHECK(image.Rows(kServers).size() == 2);
  const auto copy = image.Export(kServers);
  REQUIRE(copy.mRows.size() == 1);
  CHECK(copy.mRows.front().mKey == "b");
  CHECK(copy.mVersion == 3);
}
