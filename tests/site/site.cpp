#include "site.h"

#include <bilberrytrail/base/digest.h>
#include <bilberrytrail/platform/platform_json.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <thread>

namespace bilberrytrail {

namespace {

constexpr Duration kStartTime = 20s;
constexpr Duration kPause = 20ms;
constexpr const char* kProduct = "brotlag";

[[noreturn]] void
Abandon(const std::string& aReason)
{
  std::cerr << "site: " << aReason << "\n";
  std::exit(EXIT_FAILURE);
}

std::string
MakeFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "bilberrytrail-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    Abandon("cannot make a folder");
  }
  return name;
}

} // namespace

std::string
SampleNote(const std::string& aProduct,
           int aAgainst,
           const std::string& aVersion,
           std::size_t aServers)
{
  const std::string number = std::to_string(aServers);
  std::string note = "[release]\nproduct = " + aProduct +
                     "\nagainst = " + std::to_string(aAgainst) + "\n";
  if (aAgainst > 0) {
    return note + "[change model guide]\nversion = " + aVersion + "\n";
  }
  for (const std::string account : { "large", "small" }) {
    note += "[add account " + account +
            "]\ntoken_sha256 = " + Sha256Hex("token-" + account) +
            "\nrequests_per_second = 1000\ntokens_per_second = 1000000\n"
            "concurrent = 1000\n";
  }
  note += "[add model guide]\nversion = " + aVersion +
          "\nmin_servers = " + number + "\nmax_servers = " + number +
          "\nrole = serve\n";
  note += "[add service orders]\ngroup = orders\nrepeatable = GET /stock\n"
          "timeout_ms = 5000\n";
  return note;
}

Site::Site(SiteShape aShape)
  : mShape(std::move(aShape))
  , mFolder(MakeFolder())
{
}

Site::~Site()
{
  mDaemons.clear();
  mEngines.clear();
  mStores.clear();
  mOrders.clear();
  mPlatform.mProcess.reset();
  if (std::getenv("BILBERRYTRAIL_KEEP_FOLDER") == nullptr) {
    std::filesystem::remove_all(mFolder);
  } else {
    std::cerr << "site: kept " << mFolder << "\n";
  }
}

void
Site::Start()
{
  StartPlatform();
  StartEngines();
  for (std::size_t n = 0; n < mShape.mDaemons; ++n) {
    SiteProcess daemon;
    daemon.mName = "entry-" + std::to_string(n + 1);
    daemon.mZone = ZoneOf(n);
    daemon.mEndpoint = { "127.0.0.1", mPorts.Next() };
    daemon.mCallers = { "127.0.0.1", mPorts.Next() };
    daemon.mOperators = { "127.0.0.1", mPorts.Next() };
    mDaemons.push_back(std::move(daemon));
  }
  PublishList();
  for (auto& daemon : mDaemons) {
    StartDaemon(daemon);
  }
  for (auto& daemon : mDaemons) {
    AwaitDaemon(daemon);
  }
}

void
Site::RestartDaemon(std::size_t aDaemon)
{
  StartDaemon(mDaemons[aDaemon]);
  AwaitDaemon(mDaemons[aDaemon]);
}

void
Site::RestartEngine(std::size_t aEngine)
{
  SiteProcess& engine = mEngines[aEngine];
  engine.mProcess.reset();
  engine = StartStandIn("standin_engine",
                        engine.mName,
                        aEngine,
                        mShape.mEngineOptions,
                        engine.mEndpoint.mPort);
}

void
Site::StartPlatform()
{
  mPlatform =
    StartStandIn("standin_platform", "platform", 0, mShape.mPlatformOptions);
}

void
Site::StartEngines()
{
  auto options = mShape.mEngineOptions;
  options.push_back("--weight-store=" + ToText(mPlatform.mEndpoint));
  mShape.mEngineOptions = options;
  for (std::size_t n = 0; n < mShape.mEngines; ++n) {
    const std::string number = std::to_string(n + 1);
    mEngines.push_back(
      StartStandIn("standin_engine", "engine-" + number, n, options));
    if (mShape.mStores) {
      mStores.push_back(StartStandIn(
        "standin_store", "store-" + number, n, mShape.mStoreOptions));
    }
  }
  for (std::size_t n = 0; n < mShape.mOrderServers; ++n) {
    mOrders.push_back(StartStandIn("standin_orders",
                                   "orders-" + std::to_string(n + 1),
                                   n,
                                   mShape.mOrderOptions));
  }
}

SiteProcess
Site::StartStandIn(const std::string& aProgram,
                   const std::string& aName,
                   std::size_t aIndex,
                   const std::vector<std::string>& aOptions,
                   std::uint16_t aPort)
{
  SiteProcess process;
  process.mName = aName;
  process.mZone = ZoneOf(aIndex);
  const std::string output = mFolder + "/" + aName + ".out";
  auto options = aOptions;
  const std::uint16_t port = aPort != 0 ? aPort : mPorts.Next();
  options.push_back("--port=" + std::to_string(port));
  process.mProcess = std::make_unique<Process>(
    BuiltProgram("standins/" + aProgram), options, output);
  if (!AwaitPort(output, kStartTime)) {
    Abandon(aName + " does not listen");
  }
  process.mEndpoint = { "127.0.0.1", port };
  return process;
}

void
Site::StartDaemon(SiteProcess& aDaemon)
{
  std::map<std::string, std::string> sections = mShape.mSettings;
  sections["daemon"] += "name = " + aDaemon.mName +
                        "\nzone = " + aDaemon.mZone +
                        "\nregion = nordur\n"
                        "site_key = 0123456789abcdef0123456789abcdef\n";
  sections["listen"] += "callers = " + ToText(aDaemon.mCallers) +
                        "\noperators = " + ToText(aDaemon.mOperators) +
                        "\npeers = " + ToText(aDaemon.mEndpoint) + "\n";
  std::string seeds;
  for (const auto& daemon : mDaemons) {
    if (daemon.mName != aDaemon.mName) {
      seeds += " " + ToText(daemon.mEndpoint);
    }
  }
  if (!seeds.empty()) {
    sections["membership"] += "seeds =" + seeds + "\n";
  }
  const std::string platform = ToText(mPlatform.mEndpoint);
  sections["platform"] += "table = " + platform + "\nobjects = " + platform +
                          "\nlist = " + platform + "\n";
  // What the stand-in engine takes for each token.
  sections["cache"] += "kv_bytes_per_token = 16B\n";
  sections["operators"] += "token_hash = " + Sha256Hex(OperatorToken()) + "\n";
  const std::string file = mFolder + "/" + aDaemon.mName + ".ini";
  std::ofstream out(file);
  for (const auto& [section, lines] : sections) {
    out << "[" << section << "]\n" << lines;
  }
  out.close();
  std::filesystem::permissions(file,
                               std::filesystem::perms::owner_read |
                                 std::filesystem::perms::owner_write);
  aDaemon.mProcess =
    std::make_unique<Process>(BuiltProgram("packages/daemon/bilberryd"),
                              std::vector<std::string>{ "--settings", file },
                              mFolder + "/" + aDaemon.mName + ".out");
}

void
Site::AwaitDaemon(SiteProcess& aDaemon)
{
  const bool isUp = Await(kStartTime, [&] {
    const auto response =
      Call(aDaemon.mCallers, { "GET", "/healthz", {}, {} }, 1s);
    return response.mStatus == 200 || aDaemon.mProcess->Poll().has_value();
  });
  if (!isUp || aDaemon.mProcess->Poll()) {
    std::ifstream log(mFolder + "/" + aDaemon.mName + ".out");
    std::cerr << log.rdbuf();
    Abandon(aDaemon.mName + " is not ready");
  }
}

void
Site::PublishList(const std::vector<std::string>& aLeaving,
                  const std::vector<std::string>& aAbsent)
{
  const auto contains = [](const auto& aNames, const std::string& aName) {
    return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
  };
  Json vms = Json::array();
  const auto add =
    [&](const SiteProcess& aProcess, VmRole aRole, const std::string& aGroup) {
      if (contains(aAbsent, aProcess.mName)) {
        return;
      }
      vms.push_back({ { "name", aProcess.mName },
                      { "role", ToName(aRole) },
                      { "product", aRole == VmRole::Entry ? "" : kProduct },
                      { "group", aGroup },
                      { "zone", aProcess.mZone },
                      { "host", aProcess.mEndpoint.mHost },
                      { "port", aProcess.mEndpoint.mPort },
                      { "leaving", contains(aLeaving, aProcess.mName) },
                      { "checks_fencing", true } });
    };
  for (const auto& it : mDaemons) {
    add(it, VmRole::Entry, "");
  }
  for (std::size_t n = 0; n < mEngines.size(); ++n) {
    add(mEngines[n], VmRole::Engine, "");
    if (n < mStores.size()) {
      add(mStores[n], VmRole::Store, mEngines[n].mName);
    }
  }
  for (const auto& it : mOrders) {
    add(it, VmRole::Service, "orders");
  }
  const Json body = { { "vms", vms } };
  const auto response =
    Call(mPlatform.mEndpoint, { "PUT", "/vms", {}, body.dump() });
  if (response.mStatus / 100 != 2) {
    Abandon("the platform refused the list: " + response.mBody);
  }
}

void
Site::SetFault(const Endpoint& aEndpoint, const std::string& aJson)
{
  const auto response = Call(aEndpoint, { "POST", "/fault", {}, aJson });
  if (response.mStatus / 100 != 2) {
    Abandon("fault refused: " + response.mBody);
  }
}

HttpResponse
Site::Call(const Endpoint& aEndpoint,
           const HttpRequest& aRequest,
           Duration aTimeout)
{
  return CallOnce(aEndpoint, aRequest, aTimeout);
}

HttpResponse
Site::Operate(std::size_t aDaemon,
              const std::string& aMethod,
              const std::string& aTarget,
              const std::string& aBody)
{
  return Call(mDaemons[aDaemon].mOperators,
              { aMethod,
                aTarget,
                { { "Authorization", "Bearer " + OperatorToken() } },
                aBody });
}

bool
Site::AwaitRelease(std::size_t aDaemon, int aNumber, Duration aTimeout)
{
  return Await(aTimeout, [&] {
    const auto status = Operate(aDaemon, "GET", "/operator/status");
    const auto json = ParseJson(status.mBody);
    if (!json || !json.value().contains("products")) {
      return false;
    }
    for (const auto& product : json.value()["products"]) {
      if (product.value("product", "") == kProduct &&
          product.value("release", 0) >= aNumber) {
        return true;
      }
    }
    return false;
  });
}

std::string
Site::ZoneOf(std::size_t aIndex) const
{
  return "zone-" + std::to_string(aIndex % mShape.mZones + 1);
}

void
Site::Pause()
{
  std::this_thread::sleep_for(kPause);
}

} // namespace bilberrytrail
