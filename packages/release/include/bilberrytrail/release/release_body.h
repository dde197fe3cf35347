#pragma once

#include <bilberrytrail/release/product_state.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// A product's newest release as the head row names it.
struct ReleaseHead
{
  ProductId mProduct;
  ReleaseNumber mNumber;
  std::string mNoteId;
  // SHA-256 of the release row's value.
  std::string mHash;

  bool operator==(const ReleaseHead&) const = default;
};

// Value of a release row: the note and the full state after it.
struct ReleaseBody
{
  std::string mNoteId;
  std::string mNoteText;
  ProductState mState;

  bool operator==(const ReleaseBody&) const = default;
};

// Prefix of all head rows: one scan reads the heads of all products.
inline constexpr std::string_view kReleaseHeadPrefix = "release-head/";

// Returns the keys of a product's rows.
[[nodiscard]] std::string
ReleaseHeadKey(const ProductId& aProduct);
[[nodiscard]] std::string
ReleaseRowKey(const ProductId& aProduct, ReleaseNumber aNumber);

// Row values as JSON, and back; reading fails with Corrupt.
[[nodiscard]] std::string
ToText(const ReleaseHead& aHead);
[[nodiscard]] Result<ReleaseHead>
ReleaseHeadFromText(std::string_view aText);
[[nodiscard]] std::string
ToText(const ReleaseBody& aBody);
[[nodiscard]] Result<ReleaseBody>
ReleaseBodyFromText(std::string_view aText);

} // namespace bilberrytrail
