#pragma once

#include <bilberrytrail/base/enum_names.h>

#include <array>
#include <string_view>

namespace bilberrytrail {

// Kinds of requests that the table runs.
enum class CallPath : unsigned char
{
  Completion,
  StreamedCompletion,
  // A completion whose prompt is kept in a store.
  KeptPrompt,
  RepeatableCall,
  ClaimedCall,
  // As their namesakes, but the first attempt is late and is hedged.
  HedgedCompletion,
  HedgedCall
};

template<>
struct EnumNames<CallPath>
{
  static constexpr std::array<std::string_view, 7> kNames{
    "completion",   "streamed_completion", "kept_prompt", "repeatable_call",
    "claimed_call", "hedged_completion",   "hedged_call"
  };
};

// Steps of a request, in the order in which they come.
enum class Step : unsigned char
{
  // The entry asks the prompt's home where its blocks are.
  Find,
  // The entry has authenticated the caller and asks homes for estimates.
  Authenticated,
  // The entry forwards the request to the home's queue.
  Queued,
  // The home has the store pin the blocks.
  ImportBegin,
  // The engine has read half of each block.
  ImportEnd,
  // The queue has granted a slot; the adapter is called next.
  Granted,
  ClaimRead,
  ClaimWritten,
  // The backend server has begun to run the request.
  Running,
  // The engine's head is on its way.
  Head,
  FirstChunk,
  MiddleChunk,
  End,
  // The plain service's answer is on its way to the home.
  ServiceAnswered,
  OutcomeWritten,
  // The home's answer frame of a plain service is on its way to the entry.
  AnswerFrame
};

template<>
struct EnumNames<Step>
{
  static constexpr std::array<std::string_view, 16> kNames{
    "find",         "authenticated",    "queued",
    "import_begin", "import_end",       "granted",
    "claim_read",   "claim_written",    "running",
    "head",         "first_chunk",      "middle_chunk",
    "end",          "service_answered", "outcome_written",
    "answer_frame"
  };
};

enum class Fault : unsigned char
{
  // The home daemon dies.
  KillHome,
  // The caller closes its connection.
  CallerGone,
  // The home stops as planned.
  DrainHome,
  // The entry stops as planned.
  DrainEntry,
  // The home learns that its servers leave; the entries do not yet.
  ServersLeave,
  // Another weight version comes into force.
  ReleaseSwap,
  // The caller sends the request again through another daemon meanwhile.
  Resend,
  // The way between entry and home.
  LinkCutBefore,
  LinkCutAfter,
  LinkDuplicate,
  LinkReorder,
  LinkForeign,
  LinkCorrupt,
  LinkLate,
  // Backend servers.
  RefuseBeforeRunning,
  FailAfterRunning,
  LostReply,
  ServerCut,
  DuplicateChunk,
  ForeignChunk,
  Gap,
  WrongVersion,
  Stall,
  // The table service.
  TableDown,
  TableLostReply,
  TableLostRequest,
  // The store that keeps the prompt.
  StoreDies,
  // It comes back empty; its generations start again.
  StoreEmpty,
  // It comes back empty, and other bytes get the same block and generation.
  StoreReuse,
  // The blocks were replaced after the directory heard of them.
  StaleDirectory,
  StoreFull,
  StoreCut,
  StoreSlow,
  StoreCorrupt,
  StoreLostReply,
  // The first attempt answers before its hedge; both answer at one moment.
  HedgeLate,
  BothAnswer
};

template<>
struct EnumNames<Fault>
{
  static constexpr std::array<std::string_view, 37> kNames{
    "kill_home",
    "caller_gone",
    "drain_home",
    "drain_entry",
    "servers_leave",
    "release_swap",
    "resend",
    "link_cut_before",
    "link_cut_after",
    "link_duplicate",
    "link_reorder",
    "link_foreign",
    "link_corrupt",
    "link_late",
    "refuse_before_running",
    "fail_after_running",
    "lost_reply",
    "server_cut",
    "duplicate_chunk",
    "foreign_chunk",
    "gap",
    "wrong_version",
    "stall",
    "table_down",
    "table_lost_reply",
    "table_lost_request",
    "store_dies",
    "store_empty",
    "store_reuse",
    "stale_directory",
    "store_full",
    "store_cut",
    "store_slow",
    "store_corrupt",
    "store_lost_reply",
    "hedge_late",
    "both_answer"
  };
};

// One cell of the table.
struct Cell
{
  CallPath mPath = CallPath::Completion;
  Step mStep = Step::Authenticated;
  Fault mFault = Fault::KillHome;
};

// Returns why the cell cannot happen, or an empty text when it can. Cells that
// are possible must be reached by the run, so that a step without hooks fails.
[[nodiscard]] std::string_view
WhyImpossible(const Cell& aCell);

[[nodiscard]] constexpr bool
IsCompletion(CallPath aPath) noexcept
{
  return aPath == CallPath::Completion ||
         aPath == CallPath::StreamedCompletion ||
         aPath == CallPath::KeptPrompt || aPath == CallPath::HedgedCompletion;
}

[[nodiscard]] constexpr bool
IsHedged(CallPath aPath) noexcept
{
  return aPath == CallPath::HedgedCompletion || aPath == CallPath::HedgedCall;
}

} // namespace bilberrytrail
