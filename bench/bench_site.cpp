#include "bench_site.h"

#include <bilberrytrail/platform/platform_json.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>

namespace bilberrytrail::bench {

namespace {

constexpr Duration kTimeout = 5s;

[[noreturn]] void
Abandon(const std::string& aReason)
{
  std::cerr << "bench: " << aReason << "\n";
  std::exit(EXIT_FAILURE);
}

std::string
Note(std::size_t aEngines)
{
  std::string note = SampleNote("brotlag", 0, "v1", aEngines);
  const auto raise = [&](const std::string& aFrom, const std::string& aTo) {
    for (auto at = note.find(aFrom); at != std::string::npos;
         at = note.find(aFrom, at + aTo.size())) {
      note.replace(at, aFrom.size(), aTo);
    }
  };
  raise("requests_per_second = 1000\n", "requests_per_second = 1000000\n");
  raise("tokens_per_second = 1000000\n", "tokens_per_second = 1000000000\n");
  raise("concurrent = 1000\n", "concurrent = 100000\n");
  return note;
}

void
Apply(Site& aSite)
{
  const std::string file = aSite.Folder() + "/bench.ini";
  std::ofstream(file) << Note(aSite.Engines().size());
  ::setenv("BILBERRYTRAIL_TOKEN", Site::OperatorToken().c_str(), 1);
  Process ctl(BuiltProgram("packages/ctl/bilberryctl"),
              { "release",
                "apply",
                "--daemon",
                ToText(aSite.Daemons()[0].mOperators),
                file },
              aSite.Folder() + "/ctl.out");
  if (ctl.Wait(20s) != 0) {
    std::ifstream out(aSite.Folder() + "/ctl.out");
    std::cerr << out.rdbuf();
    Abandon("the release note was not accepted");
  }
}

std::optional<Duration>
CallEntry(HttpClient& aClient,
          const Endpoint& aEntry,
          const HttpRequest& aRequest)
{
  const auto start = MonotonicNow();
  auto opened = aClient.Open(aEntry, aRequest, kTimeout);
  if (!opened || opened.value().Status() != 200) {
    return std::nullopt;
  }
  std::optional<Duration> first;
  bool isDone = false;
  while (true) {
    const auto line = opened.value().ReadLine(MonotonicNow() + kTimeout);
    if (!line || !line.value()) {
      break;
    }
    if (!first && line.value()->starts_with("data: ")) {
      first = MonotonicNow() - start;
    }
    isDone = isDone || *line.value() == "data: [DONE]";
  }
  return isDone ? first : std::nullopt;
}

// Returns the home of each engine, by the engine's name.
std::map<std::string, std::string>
Homes(Site& aSite)
{
  std::map<std::string, std::string> homes;
  const auto status = aSite.Operate(0, "GET", "/operator/status");
  const auto json = ParseJson(status.mBody);
  if (json) {
    for (const auto& it : json.value()["servers"]) {
      if (it["role"] == "engine") {
        homes[it["name"]] = it["home"];
      }
    }
  }
  return homes;
}

} // namespace

void
StartWithRelease(Site& aSite)
{
  aSite.Start();
  Apply(aSite);
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    if (!aSite.AwaitRelease(n, 1, 6s)) {
      Abandon("the release is not in force after 6 s");
    }
  }
}

TimedCall
Through(const Endpoint& aEntry, std::size_t aBytes)
{
  const Json body = { { "model", "guide" },
                      { "stream", true },
                      { "max_tokens", kAnswerTokens },
                      { "prompt", std::string(aBytes, 'a') } };
  const HttpRequest request{ "POST",
                             "/v1/completions",
                             { { "Authorization", "Bearer token-large" } },
                             body.dump() };
  return [aEntry, request](HttpClient& aClient) {
    return CallEntry(aClient, aEntry, request);
  };
}

std::size_t
FindEntry(Site& aSite)
{
  const auto homes = Homes(aSite);
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    const auto address = ToText(aSite.Daemons()[n].mEndpoint);
    const auto status = aSite.Operate(n, "GET", "/operator/status");
    const auto json = ParseJson(status.mBody);
    const std::string id = json ? json.value().value("daemon", "") : "";
    const bool isHome =
      std::any_of(homes.begin(), homes.end(), [&](const auto& aItem) {
        return aItem.second == id;
      });
    if (!isHome) {
      return n;
    }
  }
  return aSite.Daemons().size() - 1;
}

void
AwaitServing(Site& aSite, const TimedCall& aCall)
{
  constexpr Duration kProbe = 100ms;
  constexpr Duration kLimit = 15s;
  const bool isServed = aSite.Await(
    kLimit, [&] { return RunClosed(aCall, 1, kProbe).mFailed == 0; });
  if (!isServed) {
    Abandon("the site does not serve");
  }
}

} // namespace bilberrytrail::bench
