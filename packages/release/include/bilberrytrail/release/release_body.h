#pragma once

#include <bilberrytrail/release/product_state.h>

#include <string>
#include <string_view>
#include <vector>

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

// Value of a note row: the note alone, for daemons that hold the release
// before it.
struct NoteRow
{
  std::string mNoteId;
  std::string mNoteText;

  bool operator==(const NoteRow&) const = default;
};

// Prefix of all head rows: one scan reads the heads of all products.
inline constexpr std::string_view kReleaseHeadPrefix = "release-head/";

// Returns the keys of a product's rows.
[[nodiscard]] std::string
ReleaseHeadKey(const ProductId& aProduct);
[[nodiscard]] std::string
ReleaseRowKey(const ProductId& aProduct, ReleaseNumber aNumber);
[[nodiscard]] std::string
NoteRowKey(const ProductId& aProduct, ReleaseNumber aNumber);

// Row values as JSON, and back; reading fails with Corrupt.
[[nodiscard]] std::string
ToText(const ReleaseHead& aHead);
[[nodiscard]] Result<ReleaseHead>
ReleaseHeadFromText(std::string_view aText);
[[nodiscard]] std::string
ToText(const ReleaseBody& aBody);
[[nodiscard]] Result<ReleaseBody>
ReleaseBodyFromText(std::string_view aText);
[[nodiscard]] std::string
ToText(const NoteRow& aNote);
[[nodiscard]] Result<NoteRow>
NoteRowFromText(std::string_view aText);

// Returns the release that the notes lead to from a state, the first one
// being that of the next number. Fails when one of them doesn't fit; whether
// the result is the right one is told by the head's hash alone.
[[nodiscard]] Result<ReleaseBody>
BodyAfter(const ProductState& aState, const std::vector<NoteRow>& aNotes);

} // namespace bilberrytrail
