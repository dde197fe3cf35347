#pragma once

#include <bilberrytrail/entry/site_evidence.h>
#include <bilberrytrail/entry/site_view.h>

#include <array>
#include <atomic>
#include <memory>

namespace bilberrytrail {

// The view in force and what it rests on, passed from the control thread to the
// other threads. Thread-safe. All times are on the boot clock: evidence ages
// while the VM is suspended, too.
class SiteViewHolder
{
public:
  // Returns the view; null before the first one.
  [[nodiscard]] std::shared_ptr<const SiteView> Load() const
  {
    return mView.load();
  }
  // Returns the time before which the view lacks no change of a table: an
  // answer that was asked for at this time or later has shown it. However late
  // an answer is read, it shows nothing about what came after the question.
  [[nodiscard]] Instant CompleteAt(SiteTable aTable) const noexcept
  {
    return Instant(Duration(At(mCompleteAt, aTable).load()));
  }
  // Returns the same with the way on which it came. A view that is loaded
  // afterwards rests on this evidence or on newer one.
  [[nodiscard]] SiteEvidence Evidence(SiteTable aTable) const noexcept
  {
    return { CompleteAt(aTable), At(mWay, aTable).load() };
  }
  // Returns whether calls for a table fail, so that no evidence is to come.
  [[nodiscard]] bool HasOutage(SiteTable aTable) const noexcept
  {
    return At(mHasOutage, aTable);
  }
  // Returns whether the operator's table may lack changes, since the table
  // service came back from an older copy, or may have done so just before this
  // daemon started.
  [[nodiscard]] bool IsDoubted(Instant aNow) const noexcept
  {
    return aNow < Instant(Duration(mDoubtedUntil.load()));
  }

  void Store(std::shared_ptr<const SiteView> aView)
  {
    mView.store(std::move(aView));
  }
  // Called on the control thread only.
  void SetComplete(SiteTable aTable, Instant aAt, SiteWay aWay) noexcept
  {
    if (aAt <= CompleteAt(aTable)) {
      return;
    }
    At(mWay, aTable) = aWay;
    At(mCompleteAt, aTable) = aAt.time_since_epoch().count();
  }
  void SetOutage(SiteTable aTable, bool aHasOutage) noexcept
  {
    At(mHasOutage, aTable) = aHasOutage;
  }
  void DoubtUntil(Instant aUntil) noexcept
  {
    mDoubtedUntil = aUntil.time_since_epoch().count();
  }

private:
  template<class T>
  using PerTable = std::array<std::atomic<T>, EnumCount<SiteTable>()>;

  template<class T>
  static const std::atomic<T>& At(const PerTable<T>& aValues,
                                  SiteTable aTable) noexcept
  {
    return aValues[static_cast<std::size_t>(aTable)];
  }
  template<class T>
  static std::atomic<T>& At(PerTable<T>& aValues, SiteTable aTable) noexcept
  {
    return aValues[static_cast<std::size_t>(aTable)];
  }

  std::atomic<std::shared_ptr<const SiteView>> mView;
  PerTable<Duration::rep> mCompleteAt{};
  PerTable<SiteWay> mWay{};
  PerTable<bool> mHasOutage{};
  std::atomic<Duration::rep> mDoubtedUntil = 0;
};

} // namespace bilberrytrail
