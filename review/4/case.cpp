// The machine that gives weight orders is cut off while an order is on its way.
// Another machine takes over. The first one must not be heard as a holder
// again after the cut.

#include "link.h"

using namespace review;

namespace {

constexpr double kCutTime = 8;
// unfreeze_slack_ms: orders that arrive so soon after the cut don't count.
constexpr double kHealSlack = 0.3;
constexpr double kWatchTime = 30;
constexpr double kLoadTime = 1.1;
// One of three is cut off, a share below that of the site's days.
constexpr std::size_t kDaemons = 3;
constexpr std::size_t kEngines = 3;

struct Order
{
  double mAt = 0;
  std::string mHolder;
  std::uint64_t mFence = 0;
};

std::mutex sMutex;
Table sTable;

// An engine that takes weight orders and does not check fences.
struct Engine
{
  std::string mId;
  std::uint64_t mWeights = 1;
  std::uint64_t mAccepted = 0;
  bool mIsBusy = false;
  std::vector<Order> mOrders;
  std::unique_ptr<Server> mServer;

  void PutRow() const
  {
    sTable.Put("servers", mId, ServerRow(mServer->Address(), "llm", mWeights));
  }
  bool Serve(const Message& aRequest, Stream& aStream)
  {
    const auto target = aRequest.Header("Bilberrytrail-Target-Instance");
    if (!target.empty() && target != mId) {
      return aStream.Write(ToText(421, {}, ""));
    }
    if (aRequest.mTarget == "/report") {
      const std::lock_guard lock(sMutex);
      const Json report{ { "stage", "unified" },
                         { "models",
                           { { { "name", "m0" },
                               { "version", mWeights },
                               { "adapters", Json::array() } } } },
                         { "busy", mIsBusy },
                         { "sequence", mAccepted } };
      return aStream.Write(
        ToText(200, { { "Content-Type", "application/json" } }, report.dump()));
    }
    if (aRequest.mTarget != "/order") {
      return aStream.Write(ToText(404, {}, ""));
    }
    return aStream.Write(ToText(TakeOrder(aRequest), {}, ""));
  }
  int TakeOrder(const Message& aRequest)
  {
    const auto body = Json::parse(aRequest.mBody);
    const std::lock_guard lock(sMutex);
    const auto version = body.at("version").get<std::uint64_t>();
    const bool isAccepted =
      !mIsBusy && body.at("expected").get<std::uint64_t>() == mAccepted;
    mOrders.push_back(
      { Seconds(), body.at("holder"), body.at("fencing_token") });
    const int status = mWeights >= version ? 200 : isAccepted ? 202 : 409;
    Note("server " + mId + ": " + std::to_string(status) + " to order " +
         aRequest.mBody);
    if (status == 202) {
      ++mAccepted;
      mIsBusy = true;
      std::thread([this, version] { Load(version); }).detach();
    }
    return status;
  }
  void Load(std::uint64_t aVersion)
  {
    Sleep(kLoadTime);
    const std::lock_guard lock(sMutex);
    mIsBusy = false;
    mWeights = aVersion;
    PutRow();
  }
};

std::array<Engine, kEngines> sEngines;

// A daemon with its links to the store, the engines and the other daemons.
struct Machine
{
  Uplink mUplink;
  std::unique_ptr<Server> mTableView;
  std::unique_ptr<Link> mToStore;
  // By the address of the other end.
  std::map<std::string, std::unique_ptr<Link>> mLinks;
  std::unique_ptr<Daemon> mDaemon;
};

std::array<Machine, kDaemons> sMachines;
std::atomic<bool> sHasCut = false;

void
OnBytes(Machine& aMachine, const std::string& aBytes)
{
  if (HasTrouble() && aBytes.starts_with("POST /order") &&
      !sHasCut.exchange(true)) {
    Note("an order of " + aMachine.mUplink.mName + " is on its way");
    aMachine.mUplink.Cut(kCutTime);
  }
}

// Returns the address of a link of the machine to an address.
std::string
LinkTo(Machine& aMachine, const std::string& aTarget)
{
  auto& link = aMachine.mLinks[aTarget];
  if (link == nullptr) {
    link = std::make_unique<Link>(
      aTarget,
      std::vector<Uplink*>{ &aMachine.mUplink },
      [&aMachine](const std::string& aBytes) { OnBytes(aMachine, aBytes); });
  }
  return link->Address();
}

// Names the links in place of the addresses behind them.
std::string
ViewOf(Machine& aMachine,
       const std::string& aTable,
       const std::string& aKey,
       const std::string& aValue)
{
  if (aTable == "servers") {
    auto row = Json::parse(aValue);
    row["address"] = LinkTo(aMachine, row.at("address"));
    return row.dump();
  }
  const bool isPeer =
    aKey.starts_with("daemon/") && aKey != "daemon/" + aMachine.mUplink.mName;
  if (!isPeer) {
    return aValue;
  }
  const auto end = aValue.find(' ');
  return LinkTo(aMachine, aValue.substr(0, end)) + aValue.substr(end);
}

void
StartMachine(std::size_t aNumber, const std::string& aFolder)
{
  auto& machine = sMachines[aNumber];
  machine.mUplink.mName = "d" + std::to_string(aNumber + 1);
  machine.mTableView = std::make_unique<Server>(
    [&machine](const Message& aRequest, Stream& aStream) {
      return sTable.Serve(
        aRequest,
        aStream,
        [&machine](const auto& aTable, const auto& aKey, const auto& aValue) {
          return ViewOf(machine, aTable, aKey, aValue);
        });
    });
  machine.mToStore = std::make_unique<Link>(
    machine.mTableView->Address(), std::vector<Uplink*>{ &machine.mUplink });
  machine.mDaemon = std::make_unique<Daemon>(
    machine.mUplink.mName, machine.mToStore->Address(), aFolder);
  machine.mDaemon->Start();
}

// Returns whether a server got a lower fencing number after a higher one, both
// of them from different holders. Orders just after the cut don't count.
bool
IsBroken(const Engine& aEngine, double aHealsAt)
{
  std::optional<Order> highest;
  for (const auto& it : aEngine.mOrders) {
    if (it.mAt >= aHealsAt && it.mAt < aHealsAt + kHealSlack) {
      continue;
    }
    if (highest && it.mHolder != highest->mHolder &&
        it.mFence <= highest->mFence) {
      Note("server " + aEngine.mId + ": order of " + it.mHolder +
           " with fencing number " + std::to_string(it.mFence) + " after " +
           std::to_string(highest->mFence) + " of " + highest->mHolder + ", " +
           std::to_string(it.mAt - aHealsAt) + " s after the cut");
      return true;
    }
    if (!highest || it.mFence > highest->mFence) {
      highest = it;
    }
  }
  return false;
}

} // namespace

int
main(int argc, char** argv)
{
  const auto folder = Begin(argc, argv);
  sTable.Put("op", "config", Config(1, { "key-1" }));
  sTable.Put("op", "version/m0", Json{ { "model", "m0" }, { "version", 1 } });
  for (std::size_t n = 0; n < kEngines; ++n) {
    auto& engine = sEngines[n];
    engine.mId = "i-" + std::to_string(n + 1);
    engine.mServer = std::make_unique<Server>(
      [&engine](const Message& aRequest, Stream& aStream) {
        return engine.Serve(aRequest, aStream);
      });
    engine.PutRow();
  }
  for (std::size_t n = 0; n < kDaemons; ++n) {
    StartMachine(n, folder);
  }
  for (const auto& it : sMachines) {
    it.mDaemon->AwaitReady();
  }
  // The daemons read each other's rows each 10 s.
  Sleep(12);
  sTable.Put("op", "version/m0", Json{ { "model", "m0" }, { "version", 2 } });
  Note("version 2 of the weights is named");
  Sleep(kWatchTime);
  const std::lock_guard lock(sMutex);
  double healsAt = 0;
  for (const auto& it : sMachines) {
    healsAt = std::max(healsAt, it.mUplink.HealsAt());
  }
  std::size_t orders = 0;
  bool isBroken = false;
  for (const auto& it : sEngines) {
    orders += it.mOrders.size();
    isBroken = IsBroken(it, healsAt) || isBroken;
  }
  bool isRunning = true;
  for (auto& it : sMachines) {
    isRunning = it.mDaemon->IsRunning() && isRunning;
    it.mDaemon->Kill();
  }
  if (orders == 0 || !isRunning) {
    CannotRun("no order was sent, or a daemon has ended");
  }
  Finish(isBroken);
}
