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
  for (const auto& item : ListOf(aJson, "releases")) {
    table.Add({ NumberOf(item, "number"),
                TextOf(item, "id"),
                NumberOf(item, "time_ms") });
  }
  return table.Render();
}

// Returns the newest release of each product.
std::map<std::string, std::uint64_t>
NewestReleases(const Json& aJson)
{
  std::map<std::string, std::uint64_t> newest;
  for (const auto& item : ListOf(aJson, "products")) {
    newest[TextOf(item, "product")] = CountOf(item, "release");
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
  for (const auto& item : ListOf(aJson, "servers")) {
    const auto product = TextOf(item, "product");
    const auto release = NumberOf(item, "release");
    const auto current = CountOf(item, "release");
    const auto lag = std::max(newest[product], current) - current;
    table.Add({ TextOf(item, "name"),
                product,
                TextOf(item, "role"),
                TextOf(item, "zone"),
                TextOf(item, "home"),
                TextOf(item, "state"),
                release,
                release == "-" ? release : std::to_string(lag),
                NumberOf(item, "queued"),
                NumberOf(item, "running"),
                NumberOf(item, "report_age_ms") });
  }
  return table.Render();
}

std::string
RenderDaemons(const Json& aJson)
{
  TextTable table({ "DAEMON", "ZONE", "STATE", "ENDPOINT" });
  for (const auto& item : ListOf(aJson, "daemons")) {
    table.Add({ TextOf(item, "name"),
                TextOf(item, "zone"),
                TextOf(item, "state"),
                TextOf(item, "endpoint") });
  }
  return table.Render();
}

std::string
RenderStatus(const Json& aJson)
{
  std::string text =
    "answered by " + TextOf(aJson, "daemon") + " in " + TextOf(aJson, "zone");
  text += FlagOf(aJson, "ready")
            ? ": ready"
            : ": not ready (" + TextOf(aJson, "not_ready") + ")";
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
  for (const auto& item : ListOf(aJson, "entries")) {
    table.Add({ TextOf(item, "fingerprint"),
                TextOf(item, "product"),
                TextOf(item, "account"),
                TextOf(item, "state"),
                NumberOf(item, "deaths"),
                NumberOf(item, "age_ms") });
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
    return Fail(ErrorCode::Corrupt,
                "the daemon's reply is not a JSON object (" +
                  std::to_string(aBody.size()) + " bytes)");
  }
  return RenderObject(aCommand, json);
}

} // namespace bilberrytrail
