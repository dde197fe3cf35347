#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <vector>

namespace bilberrytrail::soak {

// What is done to the site.
enum class ActionKind : unsigned char
{
  // SIGKILL, and a new process after the action's length.
  Kill,
  // SIGTERM, and a new process after its end.
  Terminate,
  // SIGSTOP, and SIGCONT after the length.
  Pause,
  // SIGHUP.
  Reload,
  // The link of one daemon to the table service.
  LinkDelayed,
  LinkReset,
  LinkSilent,
  LinkOneWay,
  // The table service, for all daemons.
  TableBusy,
  TableSilent,
  TableLosesAnswers,
  TableForgets,
  // A backend server.
  ServerFull,
  ServerCutsStreams,
  ServerLeaves,
  // The operator.
  KeyChange,
  NewWeights
};

} // namespace bilberrytrail::soak

template<>
struct bilberrytrail::EnumNames<bilberrytrail::soak::ActionKind>
{
  static constexpr std::array<std::string_view, 17> kNames{
    "kill",         "terminate",           "pause",
    "reload",       "link_delayed",        "link_reset",
    "link_silent",  "link_one_way",        "table_busy",
    "table_silent", "table_loses_answers", "table_forgets",
    "server_full",  "server_cuts_streams", "server_leaves",
    "key_change",   "new_weights"
  };
};

namespace bilberrytrail::soak {

// One thing that is done, and undone after mLength.
struct Action
{
  Duration mAt{};
  ActionKind mKind = ActionKind::Kill;
  // Which daemon or server; taken modulo their number.
  std::size_t mTarget = 0;
  Duration mLength{};
};

// Returns the actions of a seed within a time, in order. They overlap.
[[nodiscard]] std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength);

} // namespace bilberrytrail::soak
