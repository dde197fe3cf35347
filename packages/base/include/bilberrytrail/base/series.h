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
  Backend,
  // From a change of the configuration in the table service until it was in
  // force here. The class names the way on which it came.
  ConfigDelay,
  // Time since the newest evidence that the followed tables have no change that
  // this daemon lacks. The class names the table.
  EvidenceAge,
  // By which a loop resumed a fiber later than due. The class names the loop.
  LoopDelay,
  // To build a reply to the daemons that follow this one. The class names the
  // kind of the reply.
  RelayBuild
};

template<>
struct EnumNames<Measure>
{
  static constexpr std::array<std::string_view, 9> kNames{
    "first_token",  "total",        "queue_wait", "forward",    "backend",
    "config_delay", "evidence_age", "loop_delay", "relay_build"
  };
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
  RefusedTokens,
  // Replies to the daemons that follow this one, and their bytes; the class
  // names the kind of the replies. One that was built serves many replies.
  RelayReplies,
  RelayReplyBytes,
  RelayBuiltBytes
};

template<>
struct EnumNames<Counter>
{
  static constexpr std::array<std::string_view, 16> kNames{
    "requests",
    "answered",
    "refused_not_run",
    "refused_unknown",
    "incomplete",
    "retries",
    "hedges",
    "resumes",
    "prompt_tokens",
    "recomputed_tokens",
    "imported_bytes",
    "exported_bytes",
    "refused_tokens",
    "relay_replies",
    "relay_reply_bytes",
    "relay_built_bytes"
  };
};

} // namespace bilberrytrail
