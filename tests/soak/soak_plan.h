#pragma once

#include <bilberrytrail/base/enum_names.h>
#include <bilberrytrail/base/time.h>

#include <cstdint>
#include <span>
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
  NewWeights,
  // SIGKILL to all daemons, and new processes after the action's length.
  KillAll,
  // SIGSTOP and SIGCONT in turns, so that a part of the time is left.
  Starve,
  // Open connections of one daemon, or of all, to the table service; new ones
  // work.
  LinkSilentOnce,
  LinksSilentOnce,
  // The table service turns one daemon away with 503 or 429, or it is slow.
  DoorBusy,
  DoorMany,
  DoorSlow,
  // Answers to one daemon are cut in the middle, or lost once they are done.
  DoorCutsAnswers,
  DoorLosesAnswers,
  // The table service, for all daemons.
  TableMany,
  // It is away for a moment and back from a copy; what was written since the
  // action began is written again.
  TableRestored,
  // The operator's row can't be read until the next version.
  InvalidConfig,
  // What other daemons send to one daemon is lost, or comes late, or their open
  // connections to it fall silent.
  PeersCut,
  PeersDelayed,
  PeersSilentOnce
};

} // namespace bilberrytrail::soak

template<>
struct bilberrytrail::EnumNames<bilberrytrail::soak::ActionKind>
{
  static constexpr std::array<std::string_view, 32> kNames{
    "kill",
    "terminate",
    "pause",
    "reload",
    "link_delayed",
    "link_reset",
    "link_silent",
    "link_one_way",
    "table_busy",
    "table_silent",
    "table_loses_answers",
    "table_forgets",
    "server_full",
    "server_cuts_streams",
    "server_leaves",
    "key_change",
    "new_weights",
    "kill_all",
    "starve",
    "link_silent_once",
    "links_silent_once",
    "door_busy",
    "door_many",
    "door_slow",
    "door_cuts_answers",
    "door_loses_answers",
    "table_many",
    "table_restored",
    "invalid_config",
    "peers_cut",
    "peers_delayed",
    "peers_silent_once"
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

// What the actions of a plan are drawn from.
struct PlanShape
{
  std::span<const ActionKind> mKinds;
  // Longest time between the beginnings of two actions.
  Duration mMostPause{};
  Duration mLeastLength{};
  Duration mMostLength{};
};

// Returns the actions of a seed within a time, in order. They overlap.
[[nodiscard]] std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength, const PlanShape& aShape);
// Returns the same for all parts of a site, from Kill to NewWeights.
[[nodiscard]] std::vector<Action>
MakePlan(std::uint64_t aSeed, Duration aLength);

} // namespace bilberrytrail::soak
