#pragma once

#include "loading_notifier.h"
#include "site_notice.h"
#include "site_state.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bilberrytrail {

// Answers other daemons that ask what is new at the site. Rows are encoded once
// for all daemons that lack the same.
class SiteServer
{
public:
  // Returns whether this daemon still answers a daemon that relies on it.
  using MayServe = std::function<bool()>;

  SiteServer(Loop& aLoop,
             SiteState& aState,
             LoadingNotifier& aNotifier,
             SiteMetrics& aMetrics);

  // A daemon whose rows may have lacked changes for longer is of no use as a
  // relay. One that serves gets an answer each TableFollower::kServingWait.
  static constexpr Duration kMaxLag = 1200ms;

  // Answers once there is something that the requester doesn't know, or at the
  // end of its wait; at once when aMayServe no longer holds. Suspends the
  // calling fiber.
  [[nodiscard]] SiteNotice Answer(const NoticeQuery& aQuery,
                                  const MayServe& aMayServe);
  // Answers a query for rows.
  [[nodiscard]] Result<std::string> AnswerRows(const std::string& aQuery);
  // Makes all waiting queries look whether they are still to be served.
  void WakeAll() { mState.RowsChanged().Notify(); }

private:
  // Rows after a version, encoded.
  struct Encoded
  {
    // Version of the table's last change; these rows serve until the next one.
    TableVersion mChanged;
    std::shared_ptr<const std::string> mBytes;
  };

  [[nodiscard]] bool HasNews(SiteTable aTable, const NoticeQuery& aQuery) const;
  void AwaitNews(const NoticeQuery& aQuery,
                 const MayServe& aMayServe,
                 Instant aEnd);
  // Waits for evidence, as when this daemon has just begun to follow directly.
  void AwaitEvidence(Instant aEnd);
  [[nodiscard]] TableNotice NoticeOf(SiteTable aTable,
                                     const NoticeQuery& aQuery) const;
  [[nodiscard]] std::shared_ptr<const std::string> EncodedRows(
    SiteTable aTable,
    TableVersion aAfter);

  Loop& mLoop;
  SiteState& mState;
  LoadingNotifier& mNotifier;
  SiteMetrics& mMetrics;
  // By table and version of the requester.
  std::map<std::pair<SiteTable, TableVersion>, Encoded> mEncoded;
};

} // namespace bilberrytrail
