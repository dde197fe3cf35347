#pragma once

#include <bilberrytrail/base/enum_names.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bilberrytrail {

// Severity of a log event, in ascending order.
enum class LogLevel : unsigned char
{
  Debug,
  Info,
  Warning,
  Error
};

template<>
struct EnumNames<LogLevel>
{
  static constexpr std::array<std::string_view, 4> kNames{ "debug",
                                                           "info",
                                                           "warning",
                                                           "error" };
};

// Events that a daemon logs. The table returned by LogEvents() holds the
// number of each, which never changes once released, and its meaning.
enum class LogEvent : unsigned char
{
  DaemonStarted,
  DaemonStopped,
  SettingsRejected,
  Listening,
  ListenFailed,
  ListenDelayed,
  DaemonReady,
  DaemonNotReady,
  DrainBegun,
  DrainDone,
  StopForced,
  TableDown,
  TableUp,
  TableRestored,
  ChangeMissed,
  ListStale,
  ListFresh,
  ObjectStoreFailed,
  MemberJoined,
  MemberSuspect,
  MemberDead,
  MemberLeft,
  HomeGained,
  HomeLost,
  MessageBadMac,
  MessageReplayed,
  ReleaseAccepted,
  ReleaseInForce,
  ReleaseConflict,
  ReleaseStale,
  ReleaseRejected,
  LeaseTaken,
  LeaseLost,
  OrderSent,
  OrderRefused,
  LoadBegun,
  LoadDone,
  LoadFailed,
  ServerFound,
  ServerSlow,
  ServerRecovered,
  ServerDead,
  ServerLeaving,
  RequestRefused,
  RequestRetried,
  RequestHedged,
  StreamResumed,
  StreamIncomplete,
  VersionMismatch,
  ClaimUnknown,
  QuarantineSuspect,
  QuarantineConvicted,
  QuarantineCleared,
  ExportFailed,
  ImportFailed,
  StoreLost,
  LimitReached,
  OperatorAction,
  OperatorDenied,
  SiteConfigInForce,
  SiteRowUnreadable,
  SiteServersChanged,
  WeightsNamed,
  PeerImageTaken,
  ServerEjected,
  ServerReturned,
  SendFailed,
  RequestDone,
  CallerLeft,
  SettingsReloaded,
  RelayFollowed,
  RelayLeft,
  RelayFailed,
  NoticeNotTaken,
  SettingDefaulted,
  HomeSilent,
  PlacementUnreadable,
  ServerLimitChanged,
  OldWeightsCutOff,
  OldWeightsBegun,
  WeightsOverdue,
  OrderNotBegun,
  PartSuspect,
  PartQuarantined,
  PartCleared,
  ServerEnded,
  DeathTakenBack,
  ServerSaidLeaving,
  ServerPaused,
  LoopLate,
  RelayServed,
  EvidenceOld,
  EvidenceRenewed,
  CachePageUnreadable,
  LogLinesDropped
};

// One row of the catalogue of events.
struct LogEventInfo
{
  LogEvent mEvent;
  std::uint16_t mNumber;
  LogLevel mLevel;
  std::string_view mName;
  std::string_view mMeaning;
  // What an operator should do.
  std::string_view mAction;
};

// Returns the catalogue in the order of LogEvent.
[[nodiscard]] std::span<const LogEventInfo>
LogEvents() noexcept;

// Returns the row of one event.
[[nodiscard]] const LogEventInfo&
InfoOf(LogEvent aEvent) noexcept;

// Returns the text of docs/EVENTS.md.
[[nodiscard]] std::string
RenderEventCatalogue();

} // namespace bilberrytrail
