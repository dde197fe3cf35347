#pragma once

#include <bilberrytrail/release/product_state.h>

#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// Value of a head row: a product's newest release.
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

// Value of a note row: the note without the state, for daemons that have the
// previous release.
struct NoteRow
{
  std::string mNoteId;
  std::string mNoteText;

  bool operator==(const NoteRow&) const = default;
};

// Key prefix of all head rows, so that one scan reads the heads of all
// products.
inline constexpr std::string_view kReleaseHeadPrefix = "release-head/";

// Return the table keys of a product's head, release and note rows.
[[nodiscard]] std::string
ReleaseHeadKey(const ProductId& aProduct);
[[nodiscard]] std::string
ReleaseRowKey(const ProductId& aProduct, ReleaseNumber aNumber);
[[nodiscard]] std::string
NoteRowKey(const ProductId& aProduct, ReleaseNumber aNumber);

// Convert row values to JSON and back. The ...FromText functions fail with
// Corrupt when a field is missing or of another type.
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

// Returns the release that results from applying the notes to a state; the
// first note must be that of the next release number. Fails when a note cannot
// be applied. The caller has to compare the hash of the result with the head's,
// as success does not prove that these were the right notes.
[[nodiscard]] Result<ReleaseBody>
BodyAfter(const ProductState& aState, const std::vector<NoteRow>& aNotes);

} // namespace bilberrytrail
