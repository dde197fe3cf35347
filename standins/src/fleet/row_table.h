#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/platform/json_fields.h>
#include <bilberrytrail/runtime/http_server.h>
#include <bilberrytrail/runtime/loop.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace bilberrytrail::standins {

// What the table service of the fleet does to the calls that it gets.
enum class RowTableFault : unsigned char
{
  None,
  // Answers 503: nothing is done.
  Busy,
  // Answers 429: nothing is done.
  Many,
  // Answers nothing.
  Silent,
  // Does what is asked and answers nothing.
  LostAnswer
};

} // namespace bilberrytrail::standins

template<>
struct bilberrytrail::EnumNames<bilberrytrail::standins::RowTableFault>
{
  static constexpr std::array<std::string_view, 5> kNames{ "none",
                                                           "busy",
                                                           "many",
                                                           "silent",
                                                           "lost_answer" };
};

namespace bilberrytrail::standins {

// Stands in for the fleet's table service: rows by table and key, changes
// since a version, transactions with conditions. All on the thread of a loop.
class RowTable final : public HttpHandler
{
public:
  explicit RowTable(Loop& aLoop)
    : mLoop(aLoop)
  {
  }

  [[nodiscard]] std::uint64_t Version() const noexcept { return mVersion; }
  // Returns a row's value; empty when it is not there.
  [[nodiscard]] std::string Value(const std::string& aTable,
                                  const std::string& aKey) const;

  void Put(const std::string& aTable,
           const std::string& aKey,
           std::string aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // Answers requests for older changes with 410 from now on.
  void DropHistory() noexcept { mOldest = mVersion; }
  // Keeps a copy of all rows for Restore.
  void TakeCopy()
  {
    mCopy = mRows;
    mCopyVersion = mVersion;
  }
  // Comes back from the copy: what was written since is lost, its versions are
  // given out again, and the era rises by one.
  void Restore();
  // Names the era in all answers from now on; not before.
  void SetEra(std::uint64_t aEra) noexcept { mEra = aEra; }
  // Passes the values that transactions write through a function, with their
  // keys.
  void SetRewrite(
    std::function<std::string(const std::string&, std::string)> aRewrite)
  {
    mRewrite = std::move(aRewrite);
  }
  // Number of calls that were received.
  [[nodiscard]] std::uint64_t Calls() const noexcept { return mCalls; }
  // Sets the fault of calls on one table, or of all calls when aTable is empty.
  void SetFault(RowTableFault aFault, std::string aTable = {})
  {
    mFault = aFault;
    mFaultTable = std::move(aTable);
  }
  // Returns so many rows at most in one answer, as for rows that are large.
  void SetPageRows(std::size_t aRows) noexcept { mPageRows = aRows; }

  void Handle(const HttpRequest& aRequest, HttpResponder& aResponder) override;

private:
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
    bool mRemoved = false;
  };
  using Query = std::map<std::string, std::string>;

  // Returns the fault that applies to a request.
  [[nodiscard]] RowTableFault FaultOf(const HttpRequest& aRequest) const;
  [[nodiscard]] HttpResponse Serve(const HttpRequest& aRequest);
  [[nodiscard]] HttpResponse Get(const Query& aQuery) const;
  [[nodiscard]] HttpResponse Feed(const Query& aQuery) const;
  [[nodiscard]] HttpResponse Commit(const Json& aBody);
  // Returns whether all changes after a version are known.
  [[nodiscard]] bool HasHistory(std::uint64_t aAfter) const noexcept
  {
    return aAfter >= mOldest && aAfter <= mVersion;
  }
  [[nodiscard]] Json Rows(const Query& aQuery, std::uint64_t aAfter) const;
  [[nodiscard]] HttpResponse Page(Json aRows, bool aHasMore) const;

  Loop& mLoop;
  std::map<std::pair<std::string, std::string>, Row> mRows;
  std::uint64_t mVersion = 0;
  std::map<std::pair<std::string, std::string>, Row> mCopy;
  std::uint64_t mCopyVersion = 0;
  std::optional<std::uint64_t> mEra;
  std::uint64_t mCalls = 0;
  std::uint64_t mOldest = 0;
  std::size_t mPageRows = 500;
  RowTableFault mFault = RowTableFault::None;
  std::string mFaultTable;
  std::function<std::string(const std::string&, std::string)> mRewrite;
};

} // namespace bilberrytrail::standins
