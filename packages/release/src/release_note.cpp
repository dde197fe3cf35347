#include <bilberrytrail/release/release_note.h>

#include "note_error.h"
#include "note_rules.h"
#include "note_values.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/settings/ini_document.h>

#include <algorithm>
#include <set>
#include <span>

namespace bilberrytrail {

namespace {

std::string
Quote(std::string_view aText)
{
  return "'" + std::string(aText) + "'";
}

// Builds a ReleaseNote from the entries of an INI text.
class NoteReader
{
public:
  explicit NoteReader(ReleaseNote& aNote)
    : mNote(aNote)
  {
  }

  Result<void> Read(const std::vector<IniEntry>& aEntries)
  {
    std::size_t begin = 0;
    while (begin < aEntries.size()) {
      std::size_t end = begin + 1;
      while (end < aEntries.size() &&
             aEntries[end].mSection == aEntries[begin].mSection) {
        ++end;
      }
      const std::span section(aEntries.data() + begin, end - begin);
      if (auto done = ReadSection(section); !done) {
        return done;
      }
      begin = end;
    }
    return Finish();
  }

private:
  using Section = std::span<const IniEntry>;

  [[nodiscard]] Error FailAtLine(int aLine, std::string_view aMessage) const
  {
    return FailAt(mNote.mFile, aLine, aMessage);
  }

  Result<void> ReadSection(Section aSection)
  {
    const std::string& name = aSection.front().mSection;
    const int line = aSection.front().mLine;
    if (!mSections.insert(name).second) {
      return FailAtLine(line, "section " + Quote(name) + " appears twice");
    }
    std::set<std::string> keys;
    for (const auto& it : aSection) {
      if (!keys.insert(it.mKey).second) {
        return FailAtLine(it.mLine, Quote(it.mKey) + " appears twice");
      }
    }
    if (name == "release") {
      return ReadHead(aSection);
    }
    if (name == "withdraw") {
      return ReadWithdraw(aSection);
    }
    return ReadItemSection(aSection);
  }

  Result<void> ReadHead(Section aSection)
  {
    for (const auto& it : aSection) {
      if (it.mKey == "product" && IsName(it.mValue)) {
        mNote.mProduct = ProductId(it.mValue);
      } else if (it.mKey == "id" && IsName(it.mValue)) {
        mNote.mId = it.mValue;
      } else if (it.mKey == "against" && ReadUnsigned(it.mValue)) {
        mNote.mAgainst = ReleaseNumber(*ReadUnsigned(it.mValue));
        mHasAgainst = true;
      } else {
        return FailAtLine(it.mLine,
                          "expected product, against (a release's number) or "
                          "id, not " +
                            Quote(it.mKey + " = " + it.mValue));
      }
    }
    return Ok();
  }

  Result<void> ReadWithdraw(Section aSection)
  {
    for (const auto& it : aSection) {
      const auto names = ReadList(it.mValue);
      if (!names || !std::all_of(names->begin(), names->end(), IsName)) {
        return FailAtLine(it.mLine,
                          it.mKey + ": expected a list of names, not " +
                            Quote(it.mValue));
      }
      if (it.mKey == "accounts") {
        Withdraw(*names, it.mLine, mNote.mAccounts);
      } else if (it.mKey == "models") {
        Withdraw(*names, it.mLine, mNote.mModels);
      } else if (it.mKey == "adapters") {
        Withdraw(*names, it.mLine, mNote.mAdapters);
      } else if (it.mKey == "services") {
        Withdraw(*names, it.mLine, mNote.mServices);
      } else {
        return FailAtLine(it.mLine,
                          "expected accounts, models, adapters or services, "
                          "not " +
                            Quote(it.mKey));
      }
    }
    return Ok();
  }

  template<class Fields>
  void Withdraw(const std::vector<std::string>& aNames,
                int aLine,
                std::vector<NoteItem<Fields>>& aItems)
  {
    for (const auto& it : aNames) {
      aItems.push_back({ NoteVerb::Withdraw, it, aLine, {} });
    }
  }

  Result<void> ReadItemSection(Section aSection)
  {
    const std::string& title = aSection.front().mSection;
    const int line = aSection.front().mLine;
    const auto first = title.find(' ');
    const auto second = title.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) {
      return FailAtLine(line,
                        "unknown section " + Quote(title) +
                          ", expected release, withdraw, or add or change "
                          "with a kind and a name");
    }
    const auto verb = FromName<NoteVerb>(title.substr(0, first));
    const std::string kind = title.substr(first + 1, second - first - 1);
    const std::string name = title.substr(second + 1);
    if (!verb || *verb == NoteVerb::Withdraw) {
      return FailAtLine(line, "expected add or change in " + Quote(title));
    }
    if (!IsName(name)) {
      return FailAtLine(line,
                        Quote(name) +
                          " is not a valid name: expected 1 to 64 letters, "
                          "digits, '.', '_' or '-'");
    }
    if (kind == "account") {
      return ReadItem(aSection, *verb, name, AccountRules(), mNote.mAccounts);
    }
    if (kind == "model") {
      return ReadItem(aSection, *verb, name, ModelRules(), mNote.mModels);
    }
    if (kind == "adapter") {
      return ReadItem(aSection, *verb, name, AdapterRules(), mNote.mAdapters);
    }
    if (kind == "service") {
      return ReadItem(aSection, *verb, name, ServiceRules(), mNote.mServices);
    }
    return FailAtLine(
      line, "expected account, model, adapter or service, not " + Quote(kind));
  }

  template<class Fields>
  Result<void> ReadItem(Section aSection,
                        NoteVerb aVerb,
                        const std::string& aName,
                        std::span<const FieldRule<Fields>> aRules,
                        std::vector<NoteItem<Fields>>& aItems)
  {
    NoteItem<Fields> item{ aVerb, aName, aSection.front().mLine, {} };
    std::set<std::string_view> given;
    for (const auto& it : aSection) {
      const auto rule =
        std::find_if(aRules.begin(), aRules.end(), [&](const auto& aRule) {
          return aRule.mKey == it.mKey;
        });
      if (rule == aRules.end()) {
        return FailAtLine(it.mLine, "unknown key " + Quote(it.mKey));
      }
      if (!rule->mRead(item.mFields, it.mValue)) {
        return FailAtLine(it.mLine,
                          it.mKey + ": expected " +
                            std::string(rule->mExpected) + ", not " +
                            Quote(it.mValue));
      }
      given.insert(rule->mKey);
    }
    for (const auto& it : aRules) {
      if (aVerb == NoteVerb::Add && it.mRequired && !given.contains(it.mKey)) {
        return FailAtLine(item.mLine,
                          "section " + Quote(aSection.front().mSection) +
                            " lacks " + Quote(it.mKey));
      }
    }
    aItems.push_back(std::move(item));
    return Ok();
  }

  // An item may appear in a note only once: adding and withdrawing it, or
  // naming it in two sections, would be a contradiction.
  template<class Fields>
  Result<void> CheckUnique(std::vector<NoteItem<Fields>>& aItems,
                           std::string_view aKind)
  {
    std::sort(
      aItems.begin(), aItems.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mLine < aRight.mLine;
      });
    std::map<std::string, NoteVerb> seen;
    for (const auto& it : aItems) {
      const auto [found, isNew] = seen.emplace(it.mName, it.mVerb);
      if (!isNew) {
        return FailAtLine(it.mLine,
                          std::string(aKind) + " " + Quote(it.mName) +
                            " is in the note as " +
                            std::string(ToName(found->second)) + " and as " +
                            std::string(ToName(it.mVerb)));
      }
    }
    return Ok();
  }

  Result<void> Finish()
  {
    if (mNote.mProduct.IsEmpty() || !mHasAgainst) {
      return FailAtLine(1, "section [release] must give product and against");
    }
    for (const auto& done : { CheckUnique(mNote.mAccounts, "account"),
                              CheckUnique(mNote.mModels, "model"),
                              CheckUnique(mNote.mAdapters, "adapter"),
                              CheckUnique(mNote.mServices, "service") }) {
      if (!done) {
        return done;
      }
    }
    if (mNote.mAccounts.empty() && mNote.mModels.empty() &&
        mNote.mAdapters.empty() && mNote.mServices.empty()) {
      return FailAtLine(1, "the note adds, changes and withdraws nothing");
    }
    return Ok();
  }

  ReleaseNote& mNote;
  std::set<std::string> mSections;
  bool mHasAgainst = false;
};

} // namespace

Result<ReleaseNote>
CheckNote(std::string_view aText, std::string_view aName)
{
  auto entries = ParseIni(aText, aName);
  if (!entries) {
    return std::move(entries).error();
  }
  ReleaseNote note;
  note.mFile = aName;
  note.mText = aText;
  if (auto done = NoteReader(note).Read(entries.value()); !done) {
    return std::move(done).error();
  }
  if (note.mId.empty()) {
    note.mId = Sha256Hex(aText);
  }
  return note;
}

} // namespace bilberrytrail
