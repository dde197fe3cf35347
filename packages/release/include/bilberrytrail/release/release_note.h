#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/release/product_state.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bilberrytrail {

// What a note does with an item.
enum class NoteVerb : unsigned char
{
  Add,
  Change,
  Withdraw
};

template<>
struct EnumNames<NoteVerb>
{
  static constexpr std::array<std::string_view, 3> kNames{ "add",
                                                           "change",
                                                           "withdraw" };
};

// Fields that a note sets; absent ones keep their value.
struct AccountFields
{
  std::optional<std::vector<std::string>> mTokenHashes;
  std::optional<double> mRequestsPerSecond;
  std::optional<double> mTokensPerSecond;
  std::optional<std::uint32_t> mConcurrent;
};

struct ModelFields
{
  std::optional<VersionId> mVersion;
  std::optional<std::uint32_t> mMinServers;
  std::optional<std::uint32_t> mMaxServers;
  std::optional<std::string> mRole;
};

struct AdapterFields
{
  std::optional<ModelId> mModel;
};

struct ServiceFields
{
  std::optional<std::string> mGroup;
  std::optional<std::vector<std::string>> mRepeatable;
  std::optional<Duration> mTimeout;
};

// One item of a note, with the line of the note where it is first named.
template<class Fields>
struct NoteItem
{
  NoteVerb mVerb = NoteVerb::Add;
  std::string mName;
  int mLine = 0;
  Fields mFields;
};

// A checked release note of one product.
struct ReleaseNote
{
  // Name of the file, for error messages.
  std::string mFile;
  std::string mText;
  ProductId mProduct;
  // Given by the operator, or else the SHA-256 of the text.
  std::string mId;
  // The release that the note was written against.
  ReleaseNumber mAgainst;
  std::vector<NoteItem<AccountFields>> mAccounts;
  std::vector<NoteItem<ModelFields>> mModels;
  std::vector<NoteItem<AdapterFields>> mAdapters;
  std::vector<NoteItem<ServiceFields>> mServices;
};

// Reads a release note:
//
//   [release]
//   product = guides
//   against = 4
//   [add account tailor]
//   token_sha256 = 9f86...0a08
//   requests_per_second = 20
//   tokens_per_second = 8000
//   concurrent = 16
//   [change model guide]
//   version = v7
//   [withdraw]
//   accounts = wedding, fitting
//
// Models have version, min_servers, max_servers, role; adapters have model;
// services have group, repeatable ("GET /stock, GET /slots"), timeout_ms.
// Fails with InvalidInput and a message "file:line: ..." on unknown sections or
// keys, missing fields, invalid values, and contradictions within the note.
[[nodiscard]] Result<ReleaseNote>
CheckNote(std::string_view aText, std::string_view aName);

// Returns the state after the note. Fails with Conflict when the note was not
// written against the state's release or is for another product, and with
// InvalidInput and a message "file:line: ..." when it cannot be applied to the
// state.
[[nodiscard]] Result<ProductState>
ApplyNote(const ProductState& aState, const ReleaseNote& aNote);

} // namespace bilberrytrail
