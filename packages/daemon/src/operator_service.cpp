#include "operator_service.h"

#include "site_status.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/base/log.h>
#include <bilberrytrail/platform/json_fields.h>

#include <charconv>

namespace bilberrytrail {

namespace {

constexpr Duration kTableTimeout = 1s;
constexpr Duration kPeerTimeout = 1s;
constexpr std::size_t kMaxLogRows = 100;

// An operator names a daemon by its name or by its id, which has the
// instance of the process behind '~'.
bool
IsNameOf(std::string_view aName, const DaemonId& aId)
{
  const std::string_view id = aId.Text();
  return id == aName || id.substr(0, id.rfind('~')) == aName;
}

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

// Returns the text with each %XX replaced by its byte.
std::string
PercentDecode(std::string_view aText)
{
  constexpr int kHex = 16;
  std::string text;
  for (std::size_t n = 0; n < aText.size(); ++n) {
    unsigned char byte = 0;
    if (aText[n] == '%' && n + 2 < aText.size() &&
        std::from_chars(aText.data() + n + 1, aText.data() + n + 3, byte, kHex)
            .ptr == aText.data() + n + 3) {
      text.push_back(static_cast<char>(byte));
      n += 2;
    } else {
      text.push_back(aText[n]);
    }
  }
  return text;
}

// Returns the value of a query parameter, or an empty text.
std::string
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
      return PercentDecode(part.substr(aName.size() + 1));
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
NotRun(std::string_view aText)
{
  return Answer(503, { { "disposition", "not_run" }, { "message", aText } });
}

HttpResponse
ShowBody(const ReleaseBody& aBody)
{
  return Answer(200,
                { { "product", aBody.mState.mProduct.Text() },
                  { "number", aBody.mState.mNumber.Value() },
                  { "id", aBody.mNoteId },
                  { "note", aBody.mNoteText } });
}

HttpResponse
Faults(const std::string& aMessage)
{
  return Answer(422, { { "errors", { FaultOf(aMessage) } } });
}

} // namespace

OperatorService::OperatorService(const DaemonSettings& aSettings,
                                 ThreadContext& aThread,
                                 ControlState& aState,
                                 ReleaseRunner& aReleases,
                                 ListRunner& aList,
                                 HomeService& aHomes,
                                 const DaemonMetrics& aMetrics,
                                 std::function<void()> aDrain)
  : mSettings(aSettings)
  , mThread(aThread)
  , mState(aState)
  , mReleases(aReleases)
  , mList(aList)
  , mHomes(aHomes)
  , mMetrics(aMetrics)
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
  if (path == "/operator/quarantine/clear") {
    return isPost ? ClearQuarantine(aRequest) : Message(405, "takes POST");
  }
  if (path == "/operator/quarantine") {
    return ListQuarantine();
  }
  if (path == "/operator/release/show") {
    return Show(aRequest);
  }
  if (path == "/operator/release/log") {
    return Log(aRequest);
  }
  if (path == "/operator/status") {
    return Status();
  }
  if (path == "/operator/histograms") {
    return Histograms(aRequest);
  }
  if (path == "/operator/metrics") {
    return { 200,
             { { "Content-Type", "text/plain" } },
             mMetrics.Text() + StoreMetricsText(mHomes) };
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
  const auto earlier = mReleases.FindNote(product, id);
  if (earlier && earlier.value()) {
    const bool isSame = earlier.value()->mNoteText == text;
    const std::uint64_t number = earlier.value()->mState.mNumber.Value();
    return isSame ? Answer(200, { { "number", number }, { "already", true } })
                  : Answer(409, { { "conflict_with", number }, { "id", id } });
  }
  auto note = CheckNote(text, "note");
  if (!note && !earlier) {
    return Answer(503,
                  { { "disposition", "unknown" },
                    { "message", earlier.error().mError.mMessage } });
  }
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
  const ProductId product(QueryOf(aRequest, "product"));
  const std::string number = QueryOf(aRequest, "number");
  if (!number.empty()) {
    return ShowNumber(product, number);
  }
  const auto body = mReleases.Follower().InForce(product);
  if (body == nullptr) {
    return Answer(200,
                  { { "product", product.Text() },
                    { "number", 0 },
                    { "id", "" },
                    { "note", "" } });
  }
  return ShowBody(*body);
}

HttpResponse
OperatorService::ShowNumber(const ProductId& aProduct, std::string_view aNumber)
{
  std::uint64_t n = 0;
  const auto [end, ec] =
    std::from_chars(aNumber.data(), aNumber.data() + aNumber.size(), n);
  if (ec != std::errc() || end != aNumber.data() + aNumber.size()) {
    return Message(400, "number must be a whole number");
  }
  const auto row = mThread.Table().Read(
    ReleaseRowKey(aProduct, ReleaseNumber(n)), kTableTimeout);
  if (!row) {
    return NotRun(row.error().mError.mMessage);
  }
  if (!row.value()) {
    return Message(404, "no such release");
  }
  const auto body = ReleaseBodyFromText(row.value()->mValue);
  return body ? ShowBody(body.value()) : Message(500, body.error().mMessage);
}

HttpResponse
OperatorService::Log(const HttpRequest& aRequest)
{
  const ProductId product(QueryOf(aRequest, "product"));
  const auto newest = mReleases.Follower().InForce(product);
  Json releases = Json::array();
  std::uint64_t n = newest == nullptr ? 0 : newest->mState.mNumber.Value();
  for (; n > 0 && releases.size() < kMaxLogRows; --n) {
    const auto row = mThread.Table().Read(
      ReleaseRowKey(product, ReleaseNumber(n)), kTableTimeout);
    if (!row) {
      return NotRun(row.error().mError.mMessage);
    }
    const auto body = row.value() ? ReleaseBodyFromText(row.value()->mValue)
                                  : Fail(ErrorCode::NotFound, "missing");
    releases.push_back({ { "number", n },
                         { "id", body ? body.value().mNoteId : "" },
                         { "time_ms", 0 } });
  }
  return Answer(
    200,
    { { "product", product.Text() }, { "releases", std::move(releases) } });
}

HttpResponse
OperatorService::Histograms(const HttpRequest& aRequest)
{
  return { 200,
           { { "Content-Type", "application/json" } },
           mMetrics.HistogramsJson(QueryOf(aRequest, "account"),
                                   QueryOf(aRequest, "class")) };
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
                { "leaving", Json::array() },
                { "products", Json::array() },
                { "daemons", Json::array() } };
  for (const auto& [id, server] : view->mServers) {
    if (server.mVm.mLeaving) {
      json["leaving"].push_back(id.Text());
    }
  }
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
  json["servers"] = DescribeAllServers(*view, mHomes, mThread);
  return Answer(200, json);
}

HttpResponse
OperatorService::ListQuarantine()
{
  Json entries = Json::array();
  for (const auto& it : mHomes.GetQuarantine().Entries()) {
    entries.push_back({ { "fingerprint", ToText(it.mFingerprint) },
                        { "product", it.mProduct.Text() },
                        { "account", it.mAccount.Text() },
                        { "state", ToName(it.mVerdict) },
                        { "deaths", it.mDeaths },
                        { "age_ms", ToMillis(it.mAge) } });
  }
  return Answer(200, { { "entries", std::move(entries) } });
}

HttpResponse
OperatorService::ClearQuarantine(const HttpRequest& aRequest)
{
  const auto json = ParseJson(aRequest.mBody);
  if (!json || !json.value().is_object()) {
    return Message(400, "the body must be a JSON object");
  }
  JsonFields fields(json.value());
  const auto fingerprint = ReadFingerprint(fields.Text("fingerprint"));
  if (!fields.Check() || !fingerprint) {
    return Message(400, "fingerprint must be 16 hexadecimal digits");
  }
  if (!mHomes.GetQuarantine().Clear(mThread, *fingerprint)) {
    return Message(404, "nothing is held against this fingerprint");
  }
  LogLine(LogEvent::OperatorAction,
          { { "action", "quarantine_clear" },
            { "fingerprint", ToText(*fingerprint) } });
  return Answer(200, { { "cleared", true } });
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
    mList.OrderLeaving(server);
  } else {
    const std::string daemon = fields.Text("daemon");
    if (const auto ok = fields.Check(); !ok) {
      return Message(400, ok.error().mMessage);
    }
    return DrainDaemon(daemon);
  }
  LogLine(LogEvent::OperatorAction, { { "action", "drain_server" } });
  return Answer(200, { { "draining", true } });
}

HttpResponse
OperatorService::DrainDaemon(const std::string& aName)
{
  const auto view = mState.View();
  for (const auto& member : view->mMembers) {
    if (!IsNameOf(aName, member.mId)) {
      continue;
    }
    LogLine(LogEvent::OperatorAction,
            { { "action", "drain_daemon" }, { "daemon", member.mId } });
    if (member.mId == view->mSelf) {
      mDrain();
      return Answer(200, { { "draining", true } });
    }
    const auto reply = mThread.Peers().Call(
      member, "control.drain", Json::object(), kPeerTimeout);
    return reply ? Answer(200, { { "draining", true } })
                 : Answer(503,
                          { { "disposition", "unknown" },
                            { "message", reply.error().mMessage } });
  }
  return Message(404, "no such daemon: " + aName);
}

} // namespace bilberrytrail
