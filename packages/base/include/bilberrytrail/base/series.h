#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/ids.h>

#include <string>
#include <tuple>

namespace bilberrytrail {

// Identifies the requests that a series of measurements covers. Client
// accounts of the same name in two products are distinct.
struct SeriesLabels
{
  ProductId mProduct;
  AccountId mAccount;
  std::string mClass;

  bool operator==(const SeriesLabels&) const = default;
  // Orders by product, client account and class.
  friend bool operator<(const SeriesLabels& aLeft,
                        const SeriesLabels& aRight) noexcept
  {
    return aLeft.Parts() < aRight.Parts();
  }

private:
  [[nodiscard]] std::
    tuple<const std::string&, const std::string&, const std::string&>
    Parts() const noexcept
  {
    return { mProduct.Text(), mAccount.Text(), mClass };
  }
};

// Returns the labels under which everything beyond the maximum number of
// series is recorded.
[[nodiscard]] inline SeriesLabels
OtherLabels()
{
  return { ProductId(), AccountId("other"), "other" };
}

// Durations that are recorded in histograms.
enum class Measure : unsigned char
{
  // From the request's arrival to the first token of its answer.
  FirstToken,
  // From the request's arrival to the end of its answer.
  Total,
  // In the queue of a backend server.
  QueueWait,
  // Between the daemon that received the request and the home of the server.
  Forward,
  // In the backend server, to the end of the answer.
  Backend
};

template<>
struct EnumNames<Measure>
{
  static constexpr std::array<std::string_view, 5> kNames{ "first_token",
                                                           "total",
                                                           "queue_wait",
                                                           "forward",
                                                           "backend" };
};

// Events and amounts that are counted.
enum class Counter : unsigned char
{
  Requests,
  Answered,
  RefusedNotRun,
  RefusedUnknown,
  Incomplete,
  Retries,
  Hedges,
  Resumes,
  PromptTokens,
  RecomputedTokens,
  ImportedBytes,
  ExportedBytes,
  RefusedTokens
};

template<>
struct EnumNames<Counter>
{
  static constexpr std::array<std::string_view, 13> kNames{
    "requests",      "answered",          "refused_not_run", "refused_unknown",
    "incomplete",    "retries",           "hedges",          "resumes",
    "prompt_tokens", "recomputed_tokens", "imported_bytes",  "exported_bytes",
    "refused_tokens"
  };
};

} // namespace bilberrytrail
