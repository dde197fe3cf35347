#include <bilberrytrail/ctl/render.h>

#include "histogram_bars.h"
#include "json_text.h"
#include "text_table.h"

#include <algorithm>
#include <map>

namespace bilberrytrail {

namespace {

std::string
RenderRelease(const Json& aJson)
{
  const auto number = NumberOf(aJson, "number");
  if (number == "0") {
    return "no release of " + TextOf(aJson, "product") + "\n";
  }
  auto text = "; release " + number + " of " + TextOf(aJson, "product") +
              ", id " + TextOf(aJson, "id") + "\n";
  text += NoteOf(aJson, "note");
  return text.ends_with('\n') ? text : text + "\n";
}

std::string
RenderApplied(const Json& aJson)
{
  return "release " + NumberOf(aJson, "number") +
         (FlagOf(aJson, "already") ? " was accepted already\n"
                                   : " is accepted\n");
}

std::string
RenderLog(const Json& aJson)
{
  TextTable table({ "RELEASE", "ID", "TIME_MS" });
  for (const auto& one : ListOf(aJson, "releases")) {
    table.Add(
      { NumberOf(one, "number"), TextOf(one, "id"), NumberOf(one, "time_ms") });
  }
  return table.Render();
}

// Returns the newest release of each product.
std::map<std::string, std::uint64_t>
NewestReleases(const Json& aJson)
{
  std::map<std::string, std::uint64_t> newest;
  for (const auto& one : ListOf(aJson, "products")) {
    newest[TextOf(one, "product")] = CountOf(one, "release");
  }
  return newest;
}

std::string
RenderServers(const Json& aJson)
{
  auto newest = NewestReleases(aJson);
  TextTable table({ "SERVER",
                    "PRODUCT",
                    "ROLE",
                    "ZONE",
                    "HOME",
                    "STATE",
                    "RELEASE",
                    "LAG",
                    "QUEUED",
                    "RUNNING",
                    "REPORT_MS" });
  for (const auto& one : ListOf(aJson, "servers")) {
    const auto product = TextOf(one, "product");
    const auto release = CountOf(one, "release");
    const auto lag = std::max(newest[product], release) - release;
    table.Add({ TextOf(one, "name"),
                product,
                TextOf(one, "role"),
                TextOf(one, "zone"),
                TextOf(one, "home"),
                TextOf(one, "state"),
                std::to_string(release),
                std::to_string(lag),
                NumberOf(one, "queued"),
                NumberOf(one, "running"),
                NumberOf(one, "report_age_ms") });
  }
  return table.Render();
}

std::string
RenderDaemons(const Json& aJson)
{
  TextTable table({ "DAEMON", "ZONE", "STATE", "ENDPOINT" });
  for (const auto& one : ListOf(aJson, "daemons")) {
    table.Add({ TextOf(one, "name"),
                TextOf(one, "zone"),
                TextOf(one, "state"),
                TextOf(one, "endpoint") });
  }
  return table.Render();
}

std::string
RenderStatus(const Json& aJson)
{
  std::string text =
    "answered by " + TextOf(aJson, "daemon") + " in " + TextOf(aJson, "zone");
  text += FlagOf(aJson, "ready") ? ": ready" : ": not ready";
  text += FlagOf(aJson, "draining") ? ", draining" : "";
  text += FlagOf(aJson, "table_up") ? ", table up" : ", TABLE DOWN";
  text += ", list " + NumberOf(aJson, "list_age_ms") + " ms old\n";
  for (const auto& [product, release] : NewestReleases(aJson)) {
    text += product + ": release " + std::to_string(release) + "\n";
  }
  return text + "\n" + RenderDaemons(aJson) + "\n" + RenderServers(aJson);
}

std::string
RenderQuarantine(const Json& aJson)
{
  TextTable table(
    { "FINGERPRINT", "PRODUCT", "ACCOUNT", "STATE", "DEATHS", "AGE_MS" });
  for (const auto& one : ListOf(aJson, "entries")) {
    table.Add({ TextOf(one, "fingerprint"),
                TextOf(one, "product"),
                TextOf(one, "account"),
                TextOf(one, "state"),
                NumberOf(one, "deaths"),
                NumberOf(one, "age_ms") });
  }
  return table.Render();
}

std::string
RenderObject(Command aCommand, const Json& aJson)
{
  switch (aCommand) {
    case Command::ReleaseApply:
      return RenderApplied(aJson);
    case Command::ReleaseShow:
      return RenderRelease(aJson);
    case Command::ReleaseLog:
      return RenderLog(aJson);
    case Command::Status:
      return RenderStatus(aJson);
    case Command::Histograms:
      return RenderHistogramBars(aJson);
    case Command::DrainDaemon:
    case Command::DrainServer:
      return FlagOf(aJson, "draining") ? "drain has begun\n" : "not draining\n";
    case Command::QuarantineList:
      return RenderQuarantine(aJson);
    case Command::QuarantineClear:
      return FlagOf(aJson, "cleared") ? "cleared\n" : "not cleared\n";
    default:
      return aJson.dump() + "\n";
  }
}

} // namespace

Result<std::string>
RenderReply(Command aCommand, std::string_view aBody)
{
  if (aCommand == Command::Metrics) {
    return std::string(aBody);
  }
  const auto json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::Corrupt, "the daemon's answer is no JSON object");
  }
  return RenderObject(aCommand, json);
}

} // namespace bilberrytrail
