#include <bilberrytrail/ctl/run.h>

#include <bilberrytrail/base/log_event.h>
#include <bilberrytrail/ctl/render.h>
#include <bilberrytrail/release/release_note.h>
#include <bilberrytrail/settings/daemon_settings.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace bilberrytrail {

namespace {

CommandOutput
MakeError(ExitStatus aStatus, const std::string& aMessage)
{
  return { aStatus, "", aMessage + "\n" };
}

Result<std::string>
ReadFile(const std::string& aName)
{
  std::ifstream in(aName, std::ios::binary);
  std::string text{ std::istreambuf_iterator<char>(in), {} };
  if (!in.is_open() || in.bad()) {
    return Fail(ErrorCode::NotFound, "cannot read " + aName);
  }
  return text;
}

Result<ReleaseNote>
ReadNote(const std::string& aName)
{
  const auto text = ReadFile(aName);
  if (!text) {
    return text.error();
  }
  return CheckNote(text.value(), aName);
}

CommandOutput
CheckNoteFile(const CommandLine& aLine)
{
  const auto note = ReadNote(aLine.mArgument);
  if (!note) {
    return MakeError(ExitStatus::Invalid, note.error().mMessage);
  }
  return { ExitStatus::Done,
           aLine.mArgument + ": note " + note.value().mId + " for " +
             note.value().mProduct.Text() + " against release " +
             std::to_string(note.value().mAgainst.Value()) +
             " is well formed\n",
           "" };
}

CommandOutput
CheckSettingsFile(const CommandLine& aLine)
{
  const auto settings = LoadDaemonSettings(aLine.mArgument);
  if (!settings) {
    return MakeError(ExitStatus::Invalid, settings.error().mMessage);
  }
  return { ExitStatus::Done, aLine.mArgument + ": settings are valid\n", "" };
}

ExitStatus
StatusOf(ReplyKind aKind)
{
  switch (aKind) {
    case ReplyKind::Done:
      return ExitStatus::Done;
    case ReplyKind::Conflict:
      return ExitStatus::Conflict;
    case ReplyKind::Invalid:
      return ExitStatus::Invalid;
    case ReplyKind::NotRun:
      return ExitStatus::NotRun;
    case ReplyKind::Unknown:
      return ExitStatus::Unknown;
    case ReplyKind::Unauthorized:
      return ExitStatus::Unauthorized;
    case ReplyKind::NotFound:
      return ExitStatus::NotFound;
    case ReplyKind::Refused:
      return ExitStatus::Failed;
  }
  return ExitStatus::Failed;
}

HttpHeaders
QueryOf(const CommandLine& aLine)
{
  HttpHeaders query;
  const auto add = [&query](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      query.push_back({ aName, aValue });
    }
  };
  add("product", aLine.mArgument);
  add("number", aLine.mNumber);
  add("account", aLine.mAccount);
  add("class", aLine.mClass);
  return query;
}

std::string
MakeSingleMemberObject(const char* aKey, const std::string& aValue)
{
  const nlohmann::json json = { { aKey, aValue } };
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

OperatorReply
Apply(const ReleaseNote& aNote, OperatorApi& aApi)
{
  return aApi.Apply({ aNote.mProduct, aNote.mAgainst, aNote.mId, aNote.mText });
}

OperatorReply
Call(const CommandLine& aLine, OperatorApi& aApi)
{
  switch (aLine.mCommand.value_or(Command::Status)) {
    case Command::ReleaseShow:
      return aApi.Get("/operator/release/show", QueryOf(aLine));
    case Command::ReleaseLog:
      return aApi.Get("/operator/release/log", QueryOf(aLine));
    case Command::Histograms:
      return aApi.Get("/operator/histograms", QueryOf(aLine));
    case Command::Metrics:
      return aApi.Get("/operator/metrics", {});
    case Command::DrainDaemon:
      return aApi.Post("/operator/drain",
                       MakeSingleMemberObject("daemon", aLine.mArgument));
    case Command::DrainServer:
      return aApi.Post("/operator/drain",
                       MakeSingleMemberObject("server", aLine.mArgument));
    case Command::QuarantineList:
      return aApi.Get("/operator/quarantine", {});
    case Command::QuarantineClear:
      return aApi.Post("/operator/quarantine/clear",
                       MakeSingleMemberObject("fingerprint", aLine.mArgument));
    default:
      return aApi.Get("/operator/status", {});
  }
}

std::string
WithTrailingNewline(const std::string& aText)
{
  return aText.ends_with('\n') ? aText : aText + "\n";
}

CommandOutput
MakeOutput(const CommandLine& aLine, const OperatorReply& aReply)
{
  const auto status = StatusOf(aReply.mKind);
  if (aLine.mJson && !aReply.mBody.empty()) {
    return { status,
             WithTrailingNewline(aReply.mBody),
             aReply.mMessage.empty() ? "" : aReply.mMessage + "\n" };
  }
  if (status != ExitStatus::Done) {
    return MakeError(status,
                     std::string(ToName(status)) + ": " + aReply.mMessage);
  }
  const auto text =
    RenderReply(aLine.mCommand.value_or(Command::Status), aReply.mBody);
  if (!text) {
    return MakeError(ExitStatus::Failed, text.error().mMessage);
  }
  return { status, WithTrailingNewline(text.value()), "" };
}

} // namespace

CommandOutput
RunLocal(const CommandLine& aLine)
{
  switch (aLine.mCommand.value_or(Command::Status)) {
    case Command::ReleaseCheck:
      return CheckNoteFile(aLine);
    case Command::SettingsCheck:
      return CheckSettingsFile(aLine);
    case Command::SettingsDefaults:
      return { ExitStatus::Done, RenderDefaults(DaemonSettingTable()), "" };
    case Command::CatalogueSettings:
      return { ExitStatus::Done, RenderSettingsPage(), "" };
    case Command::CatalogueEvents:
      return { ExitStatus::Done, RenderEventCatalogue(), "" };
    default:
      return MakeError(ExitStatus::Usage,
                       "this command needs a daemon and cannot be run locally");
  }
}

CommandOutput
RunRemote(const CommandLine& aLine, OperatorApi& aApi)
{
  if (aLine.mCommand != Command::ReleaseApply) {
    return MakeOutput(aLine, Call(aLine, aApi));
  }
  const auto note = ReadNote(aLine.mArgument);
  if (!note) {
    return MakeError(ExitStatus::Invalid, note.error().mMessage);
  }
  return MakeOutput(aLine, Apply(note.value(), aApi));
}

Result<std::string>
ReadToken(const std::string& aFile, const char* aEnvironment)
{
  std::string token = aEnvironment == nullptr ? "" : aEnvironment;
  if (!aFile.empty()) {
    auto text = ReadFile(aFile);
    if (!text) {
      return text.error();
    }
    token = text.value().substr(0, text.value().find_first_of("\r\n"));
  }
  const bool isVisibleAscii = std::ranges::all_of(
    token, [](char aChar) { return aChar > ' ' && aChar < 0x7F; });
  if (token.empty() || !isVisibleAscii) {
    return Fail(ErrorCode::InvalidInput,
                "expected an operator's token in BILBERRYTRAIL_TOKEN or in the "
                "file of --token-file");
  }
  return token;
}

} // namespace bilberrytrail
