#include "operator_service.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

#include <charconv>

namespace bilberrytrail {

namespace {

HttpResponse
Answer(unsigned aStatus, const Json& aJson)
{
  return { aStatus,
           { { "Content-Type", "application/json" } },
           aJson.dump(-1, ' ', false, Json::error_handler_t::replace) };
}

HttpResponse
Message(unsigned aStatus, std::string_view aText)
{
  return Answer(aStatus, { { "message", aText } });
}

std::string_view
PathOf(const HttpRequest& aRequest)
{
  const std::string_view target = aRequest.mTarget;
  return target.substr(0, target.find('?'));
}

// Returns the value of a query parameter, or an empty view.
std::string_view
QueryOf(const HttpRequest& aRequest, std::string_view aName)
{
  std::string_view target = aRequest.mTarget;
  const auto mark = target.find('?');
  if (mark == std::string_view::npos) {
    return {};
  }
  target.remove_prefix(mark + 1);
  while (!target.empty()) {
    const auto part = target.substr(0, target.find('&'));
    target.remove_prefix(std::min(target.size(), part.size() + 1));
    if (part.starts_with(aName) && part.substr(aName.size()).starts_with('=')) {
      return part.substr(aName.size() + 1);
    }
  }
  return {};
}

// Splits "file:line: text" into the fault's line and text.
Json
FaultOf(const std::string& aMessage)
{
  const auto first = aMessage.find(':');
  const auto second =
    first == std::string::npos ? first : aMessage.find(':', first + 1);
  int line = 0;
  if (second != std::string::npos) {
    std::from_chars(
      aMessage.data() + first + 1, aMessage.data() + second, line);
  }
  const auto text = line == 0
                      ? aMessage
                      : aMessage.substr(std::min(aMessage.size(), second + 2));
  return { { "line", line }, { "message", text } };
}

HttpResponse
Faults(const std::string& aMessage)
{
  return Answer(422, { { "errors", { FaultOf(aMessage) } } });
}

} // namespace

OperatorService::OperatorService(const DaemonSettings& aSettings,
                                 ControlState& aState,
                                 ReleaseRunner& aReleases,
                                 ListRunner& aList,
                                 HomeService& aHomes,
                                 std::function<void()> aDrain)
  : mSettings(aSettings)
  , mState(aState)
  , mReleases(aReleases)
  , mList(aList)
  , mHomes(aHomes)
  , mDrain(std::move(aDrain))
{
}

void
OperatorService::Handle(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  if (!IsOperator(aRequest)) {
    LogLine(LogEvent::OperatorDenied, { { "path", PathOf(aRequest) } });
    (void)aResponder.Send(Message(401, "expected an operator token"));
    return;
  }
  (void)aResponder.Send(Route(aRequest));
}

bool
OperatorService::IsOperator(const HttpRequest& aRequest) const
{
  constexpr std::string_view kBearer = "Bearer ";
  const auto header = FindHeader(aRequest.mHeaders, "Authorization");
  return header.starts_with(kBearer) &&
         ConstantTimeEqual(Sha256Hex(header.substr(kBearer.size())),
                           mSettings.mOperatorTokenHash);
}

HttpResponse
OperatorService::Route(const HttpRequest& aRequest)
{
  const auto path = PathOf(aRequest);
  const bool isPost = aRequest.mMethod == "POST";
  if (path == "/operator/release/apply") {
    return isPost ? Apply(aRequest) : Message(405, "takes POST");
  }
  if (path == "/operator/drain") {
    return isPost ? Drain(aRequest) : Message(405, "takes POST");
  }
  if (path == "/operator/release/show") {
    return Show(aRequest);
  }
  if (path == "/operator/status") {
    return Status();
  }
  return Message(404, "no such path");
}

HttpResponse
OperatorService::Apply(const HttpRequest& aRequest)
{
  const auto json = ParseJson(aRequest.mBody);
  if (!json || !json.value().is_object()) {
    return Message(400, "the body must be a JSON object");
  }
  JsonFields fields(json.value());
  const std::string text = fields.Text("note");
  const ProductId product(fields.Text("product"));
  const ReleaseNumber against(fields.Unsigned("against"));
  const std::string id = fields.Text("id");
  if (const auto ok = fields.Check(); !ok) {
    return Message(400, ok.error().mMessage);
  }
  auto note = CheckNote(text, "note");
  if (!note) {
    return Faults(note.error().mMessage);
  }
  note.value().mProduct = product;
  note.value().mAgainst = against;
  note.value().mId = id;
  const AppendResult result = mReleases.Apply(note.value());
  LogLine(LogEvent::OperatorAction,
          { { "action", "release_apply" },
            { "product", product },
            { "outcome", result.mOutcome },
            { "number", result.mNumber } });
  const std::uint64_t number = result.mNumber.Value();
  switch (result.mOutcome) {
    case AppendOutcome::Applied:
      return Answer(200, { { "number", number }, { "already", false } });
    case AppendOutcome::AlreadyApplied:
      return Answer(200, { { "number", number }, { "already", true } });
    case AppendOutcome::Conflict:
      return Answer(409,
                    { { "conflict_with", number },
                      { "id", "" },
                      { "message", result.mMessage } });
    case AppendOutcome::Rejected:
      return Faults(result.mMessage);
    case AppendOutcome::NotApplied:
      return Answer(
        503, { { "disposition", "not_run" }, { "message", result.mMessage } });
    case AppendOutcome::Unknown:
      return Answer(
        503, { { "disposition", "unknown" }, { "message", result.mMessage } });
  }
  return Message(500, "unreachable");
}

HttpResponse
OperatorService::Show(const HttpRequest& aRequest)
{
  const ProductId product{ std::string(QueryOf(aRequest, "product")) };
  const auto body = mReleases.Follower().InForce(product);
  if (body == nullptr) {
    return Answer(200,
                  { { "product", product.Text() },
                    { "number", 0 },
                    { "id", "" },
                    { "note", "" } });
  }
  return Answer(200,
                { { "product", product.Text() },
                  { "number", body->mState.mNumber.Value() },
                  { "id", body->mNoteId },
                  { "note", body->mNoteText } });
}

HttpResponse
OperatorService::Status()
{
  const auto view = mState.View();
  const auto now = MonotonicNow();
  Json json = { { "daemon", view->mSelf.Text() },
                { "zone", view->mZone.Text() },
                { "ready", view->mNotReady.empty() },
                { "not_ready", view->mNotReady },
                { "draining", view->mDraining },
                { "table_up", mReleases.IsTableUp() },
                { "list_age_ms", ToMillis(mList.Age(now)) },
                { "products", Json::array() },
                { "daemons", Json::array() },
                { "servers", Json::array() } };
  for (const auto& [id, product] : view->mProducts) {
    json["products"].push_back(
      { { "product", id.Text() }, { "release", product.mNumber.Value() } });
  }
  for (const auto& member : view->mMembers) {
    json["daemons"].push_back({ { "name", member.mId.Text() },
                                { "zone", member.mZone.Text() },
                                { "state", ToName(member.mStatus) },
                                { "endpoint", ToText(member.mEndpoint) } });
  }
  for (const auto& [id, server] : view->mServers) {
    Json row = { { "name", id.Text() },
                 { "product", server.mVm.mProduct.Text() },
                 { "role", ToName(server.mVm.mRole) },
                 { "zone", server.mVm.mZone.Text() },
                 { "home", server.mHome.Text() },
                 { "state", server.mVm.mLeaving ? "leaving" : "serving" } };
    if (server.mHome == view->mSelf && server.mVm.mRole != VmRole::Store) {
      if (const auto homed = mHomes.Find(id)) {
        row["queued"] = homed->Queue().Waiting();
        row["running"] = homed->Queue().Running();
        row["versions"] = Json::array();
        if (const auto state = homed->State()) {
          for (const auto& it : state->mVersions) {
            row["versions"].push_back({ { "model", it.mModel.Text() },
                                        { "version", it.mVersion.Text() },
                                        { "ready", it.mReady } });
          }
        }
      }
    }
    json["servers"].push_back(std::move(row));
  }
  return Answer(200, json);
}

HttpResponse
OperatorService::Drain(const HttpRequest& aRequest)
{
  const auto json = ParseJson(aRequest.mBody);
  if (!json || !json.value().is_object()) {
    return Message(400, "the body must be a JSON object");
  }
  JsonFields fields(json.value());
  if (fields.Has("server")) {
    const ServerId server(fields.Text("server"));
    if (!mState.View()->mServers.contains(server)) {
      return Message(404, "no such server");
    }
    mState.SetLeaving(server);
  } else {
    const std::string daemon = fields.Text("daemon");
    if (!fields.Check() || daemon != mState.View()->mSelf.Text()) {
      return Message(404, "not this daemon: " + daemon);
    }
    mDrain();
  }
  LogLine(LogEvent::OperatorAction, { { "action", "drain" } });
  return Answer(200, { { "draining", true } });
}

} // namespace bilberrytrail
