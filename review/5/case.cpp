// All open connections between the daemons and the store go silent. Three
// seconds later the daemons are in touch again, and a configuration that was
// acknowledged more than two seconds before must be in force on them.

#include "link.h"

using namespace review;

namespace {

constexpr double kStableWindow = 3.0;
constexpr double kConfigApply = 2.0;
constexpr std::size_t kDaemons = 2;
constexpr int kRequests = 24;

Table sTable;
std::mutex sMutex;
// Servers that ran a request, by its id.
std::map<std::string, std::string> sRuns;

bool
ServePlain(const std::string& aServer, const Message& aRequest, Stream& aStream)
{
  const auto id = aRequest.Header("Bilberrytrail-Request-Id");
  if (aRequest.Header("Bilberrytrail-Target-Instance") != aServer) {
    return aStream.Write(
      ToText(421, { { "Bilberrytrail-Request-Id", id } }, ""));
  }
  {
    const std::lock_guard lock(sMutex);
    sRuns[id] = aServer;
  }
  return aStream.Write(
    ToText(200,
           { { "Bilberrytrail-Request-Id", id },
             { "Bilberrytrail-Response-Signature", "sig-" + id } },
           "answer to " + id));
}

// Returns a configuration whose route for orders leads to a service.
Json
ConfigWith(std::uint64_t aVersion, const std::string& aService)
{
  auto config = Config(aVersion, { "key-1" });
  config["services"].push_back({ { "name", "shop-2" } });
  config["routes"][1]["service"] = aService;
  return config;
}

int
Send(const Daemon& aDaemon, const std::string& aId)
{
  auto stream = Connect(OwnHost(), aDaemon.Port());
  if (stream == nullptr) {
    return 0;
  }
  stream->Write(ClientRequest(
    "POST", "/order/" + aId, aId, "key-1", 1000, "body of " + aId));
  const auto answer = stream->Read(Clock::now() + 2s);
  return answer ? answer->mStatus : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto folder = Begin(argc, argv);
  Server store([](const Message& aRequest, Stream& aStream) {
    return sTable.Serve(aRequest, aStream);
  });
  Server older([](const Message& aRequest, Stream& aStream) {
    return ServePlain("i-1", aRequest, aStream);
  });
  Server newer([](const Message& aRequest, Stream& aStream) {
    return ServePlain("i-2", aRequest, aStream);
  });
  sTable.Put("op", "config", ConfigWith(1, "shop"));
  sTable.Put("servers", "i-1", ServerRow(older.Address(), "shop"));
  sTable.Put("servers", "i-2", ServerRow(newer.Address(), "shop-2"));
  std::vector<std::unique_ptr<Link>> links;
  std::vector<std::unique_ptr<Daemon>> daemons;
  for (std::size_t n = 0; n < kDaemons; ++n) {
    links.push_back(
      std::make_unique<Link>(store.Address(), std::vector<Uplink*>()));
    daemons.push_back(std::make_unique<Daemon>(
      "d" + std::to_string(n + 1), links.back()->Address(), folder));
    daemons.back()->Start();
  }
  for (const auto& it : daemons) {
    it->AwaitReady();
  }
  Sleep(12);
  sTable.Put("op", "config", ConfigWith(2, "shop"));
  Note("store: acknowledges configuration 2, orders go to shop");
  Sleep(0.15);
  const auto silentAt = Seconds();
  if (HasTrouble()) {
    for (const auto& it : links) {
      it->SilenceOpenConnections();
    }
    Note("the open connections to the store go silent");
  }
  Sleep(0.7);
  sTable.Put("op", "config", ConfigWith(3, "shop-2"));
  const auto acknowledgedAt = Seconds();
  Note("store: acknowledges configuration 3, orders go to shop-2");
  const auto first =
    std::max(silentAt + kStableWindow, acknowledgedAt + kConfigApply) + 0.02;
  Sleep(first - Seconds());
  int stale = 0;
  int served = 0;
  for (int n = 0; n < kRequests; ++n) {
    const auto& daemon = *daemons[static_cast<std::size_t>(n) % kDaemons];
    const auto id = "r" + std::to_string(n);
    const auto sentAt = Seconds();
    const auto status = Send(daemon, id);
    const std::lock_guard lock(sMutex);
    const auto server = sRuns.contains(id) ? sRuns[id] : "none";
    Note("client: " + id + " sent " + std::to_string(sentAt - silentAt) +
         " s after the silence began, " +
         std::to_string(sentAt - acknowledgedAt) +
         " s after the acknowledgement, status " + std::to_string(status) +
         ", run by " + server);
    stale += server == "i-1" ? 1 : 0;
    served += status == 200 ? 1 : 0;
    Sleep(0.02);
  }
  bool isRunning = true;
  for (const auto& it : daemons) {
    isRunning = it->IsRunning() && isRunning;
    it->Kill();
  }
  if (served == 0 || !isRunning) {
    CannotRun("nothing was served");
  }
  Note("run by the service of the older configuration: " +
       std::to_string(stale));
  Finish(stale > 0);
}
