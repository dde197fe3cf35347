#include <bilberrytrail/release/release_note.h>

#include "note_error.h"

namespace bilberrytrail {

namespace {

template<class T>
void
Assign(T& aTarget, const std::optional<T>& aValue)
{
  if (aValue) {
    aTarget = *aValue;
  }
}

void
Merge(AccountSpec& aSpec, const AccountFields& aFields)
{
  Assign(aSpec.mTokenHashes, aFields.mTokenHashes);
  Assign(aSpec.mRequestsPerSecond, aFields.mRequestsPerSecond);
  Assign(aSpec.mTokensPerSecond, aFields.mTokensPerSecond);
  Assign(aSpec.mConcurrent, aFields.mConcurrent);
}

void
Merge(ModelSpec& aSpec, const ModelFields& aFields)
{
  Assign(aSpec.mVersion, aFields.mVersion);
  Assign(aSpec.mMinServers, aFields.mMinServers);
  Assign(aSpec.mMaxServers, aFields.mMaxServers);
  Assign(aSpec.mRole, aFields.mRole);
}

void
Merge(AdapterSpec& aSpec, const AdapterFields& aFields)
{
  Assign(aSpec.mModel, aFields.mModel);
}

void
Merge(ServiceSpec& aSpec, const ServiceFields& aFields)
{
  Assign(aSpec.mGroup, aFields.mGroup);
  Assign(aSpec.mRepeatable, aFields.mRepeatable);
  Assign(aSpec.mTimeout, aFields.mTimeout);
}

template<class Fields, class Key, class Spec>
Result<void>
ApplyItems(const ReleaseNote& aNote,
           const std::vector<NoteItem<Fields>>& aItems,
           std::string_view aKind,
           std::map<Key, Spec>& aSpecs)
{
  for (const auto& it : aItems) {
    const Key key(it.mName);
    const std::string what = std::string(aKind) + " '" + it.mName + "'";
    const bool exists = aSpecs.contains(key);
    if (it.mVerb == NoteVerb::Add && exists) {
      return FailAt(aNote.mFile, it.mLine, what + " exists already");
    }
    if (it.mVerb != NoteVerb::Add && !exists) {
      return FailAt(aNote.mFile, it.mLine, what + " does not exist");
    }
    if (it.mVerb == NoteVerb::Withdraw) {
      aSpecs.erase(key);
    } else {
      Merge(aSpecs[key], it.mFields);
    }
  }
  return Ok();
}

// Returns the line where a note first names an item, or 1 when it does not.
template<class Fields>
int
LineOf(const std::vector<NoteItem<Fields>>& aItems, std::string_view aName)
{
  for (const auto& it : aItems) {
    if (it.mName == aName) {
      return it.mLine;
    }
  }
  return 1;
}

Result<void>
CheckTokens(const ProductState& aState, const ReleaseNote& aNote)
{
  std::map<std::string, std::string> owners;
  for (const auto& [id, spec] : aState.mAccounts) {
    for (const auto& hash : spec.mTokenHashes) {
      const auto [it, isNew] = owners.emplace(hash, id.Text());
      if (!isNew) {
        const int line = std::max(LineOf(aNote.mAccounts, id.Text()),
                                  LineOf(aNote.mAccounts, it->second));
        return FailAt(aNote.mFile,
                      line,
                      "accounts '" + it->second + "' and '" + id.Text() +
                        "' have the same token");
      }
    }
  }
  return Ok();
}

Result<void>
CheckModels(const ProductState& aState, const ReleaseNote& aNote)
{
  for (const auto& [id, spec] : aState.mModels) {
    if (spec.mMinServers > spec.mMaxServers) {
      return FailAt(aNote.mFile,
                    LineOf(aNote.mModels, id.Text()),
                    "model '" + id.Text() + "': min_servers " +
                      std::to_string(spec.mMinServers) +
                      " is above max_servers " +
                      std::to_string(spec.mMaxServers));
    }
  }
  for (const auto& [name, spec] : aState.mAdapters) {
    if (!aState.mModels.contains(spec.mModel)) {
      const int line = std::max(LineOf(aNote.mAdapters, name),
                                LineOf(aNote.mModels, spec.mModel.Text()));
      return FailAt(aNote.mFile,
                    line,
                    "adapter '" + name + "' is for model '" +
                      spec.mModel.Text() + "', which does not exist");
    }
  }
  return Ok();
}

} // namespace

Result<ProductState>
ApplyNote(const ProductState& aState, const ReleaseNote& aNote)
{
  const bool isFirst = aState.mNumber == ReleaseNumber();
  if (aNote.mProduct != aState.mProduct && !isFirst) {
    return Fail(ErrorCode::Conflict,
                aNote.mFile + ": the note is for product '" +
                  aNote.mProduct.Text() + "', not '" + aState.mProduct.Text() +
                  "'");
  }
  if (aNote.mAgainst != aState.mNumber) {
    return Fail(ErrorCode::Conflict,
                aNote.mFile + ": written against release " +
                  std::to_string(aNote.mAgainst.Value()) + ", but " +
                  std::to_string(aState.mNumber.Value()) + " is in force");
  }
  ProductState next = aState;
  next.mProduct = aNote.mProduct;
  next.mNumber = aState.mNumber.Next();
  if (auto done = ApplyItems(aNote, aNote.mAccounts, "account", next.mAccounts);
      !done) {
    return std::move(done).error();
  }
  if (auto done = ApplyItems(aNote, aNote.mModels, "model", next.mModels);
      !done) {
    return std::move(done).error();
  }
  if (auto done = ApplyItems(aNote, aNote.mAdapters, "adapter", next.mAdapters);
      !done) {
    return std::move(done).error();
  }
  if (auto done = ApplyItems(aNote, aNote.mServices, "service", next.mServices);
      !done) {
    return std::move(done).error();
  }
  if (auto done = CheckTokens(next, aNote); !done) {
    return std::move(done).error();
  }
  if (auto done = CheckModels(next, aNote); !done) {
    return std::move(done).error();
  }
  return next;
}

} // namespace bilberrytrail
