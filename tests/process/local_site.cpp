// Runs a small local site: applies a release note with bilberryctl, sends a
// long prompt, evicts it, sends it again, and places one order.

#include "site.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace {

using namespace bilberrytrail;

[[noreturn]] void
Abandon(const char* aReason)
{
  std::fprintf(stderr, "local_site: %s\n", aReason);
  std::exit(EXIT_FAILURE);
}

std::string
LongPrompt()
{
  std::string prompt;
  while (prompt.size() < 65536) {
    prompt += "Fold the left corner over the middle, then press the seam. ";
  }
  return prompt;
}

std::string
CompletionBody(const std::string& aPrompt)
{
  return R"({"model":"guide","stream":true,"max_tokens":8,"prompt":")" +
         aPrompt + "\"}";
}

void
Apply(Site& aSite)
{
  const std::string note = aSite.Folder() + "/first.ini";
  std::ofstream(note) << SampleNote("brotlag", 0, "v1", 3);
  ::setenv("BILBERRYTRAIL_TOKEN", Site::OperatorToken().c_str(), 1);
  Process ctl(BuiltProgram("packages/ctl/bilberryctl"),
              { "release",
                "apply",
                "--daemon",
                ToText(aSite.Daemons()[0].mOperators),
                note },
              aSite.Folder() + "/ctl.out");
  const auto status = ctl.Wait(20s);
  std::ifstream out(aSite.Folder() + "/ctl.out");
  std::string line;
  while (std::getline(out, line)) {
    std::printf("bilberryctl: %s\n", line.c_str());
  }
  if (status != 0) {
    Abandon("the release note was not accepted");
  }
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    if (!aSite.AwaitRelease(n, 1, 6s)) {
      Abandon("the release is not in force everywhere after 6 s");
    }
  }
}

StreamedAnswer
Send(Site& aSite, const char* aLabel, const std::string& aPrompt)
{
  auto answer = StreamCompletion(
    aSite.Daemons()[1].mCallers, "token-large", CompletionBody(aPrompt));
  if (answer.mStatus != 200 || !answer.mDone) {
    std::fprintf(stderr, "%s\n", answer.mBody.c_str());
    Abandon("the prompt was not answered");
  }
  std::printf("%-22s first token %7.1f ms, answer: %s\n",
              aLabel,
              ToMillis(answer.mFirstToken),
              answer.mText.c_str());
  return answer;
}

// Adds up one counter over all engines.
double
Recomputed(Site& aSite)
{
  double n = 0;
  for (const auto& engine : aSite.Engines()) {
    const auto stats =
      aSite.Call(engine.mEndpoint, { "GET", "/stats", {}, {} });
    const std::string key = "\"recomputed_tokens\":";
    const auto at = stats.mBody.find(key);
    if (at != std::string::npos) {
      n += std::strtod(stats.mBody.c_str() + at + key.size(), nullptr);
    }
  }
  return n;
}

void
PlaceOrder(Site& aSite)
{
  const HttpRequest order{ "POST",
                           "/v1/products/brotlag/services/orders/book",
                           { { "Authorization", "Bearer token-small" },
                             { "Content-Type", "application/json" },
                             { "Idempotency-Key", "order-1" } },
                           R"({"order":"o-1","slot":"monday"})" };
  for (const char* label : { "order:", "same order again:" }) {
    const auto answer = aSite.Call(aSite.Daemons()[2].mCallers, order);
    std::printf("%-22s %u %s\n", label, answer.mStatus, answer.mBody.c_str());
    if (answer.mStatus / 100 != 2) {
      Abandon("the order was not taken");
    }
  }
  const auto stats =
    aSite.Call(aSite.OrderServers()[0].mEndpoint, { "GET", "/stats", {}, {} });
  std::printf("%-22s %s\n", "order service:", stats.mBody.c_str());
}

} // namespace

int
main()
{
  Site site(SiteShape{});
  site.Start();
  std::printf("site: %zu daemons, %zu engines with stores, 1 order service\n",
              site.Daemons().size(),
              site.Engines().size());
  Apply(site);
  const std::string prompt = LongPrompt();
  Send(site, "first time:", prompt);
  const double first = Recomputed(site);
  for (const auto& engine : site.Engines()) {
    (void)site.Call(engine.mEndpoint,
                    { "POST", "/evict", {}, R"({"keep":0})" });
  }
  Send(site, "again after eviction:", prompt);
  const double second = Recomputed(site) - first;
  std::printf(
    "%-22s %.0f of %.0f prompt tokens\n", "recomputed:", second, first);
  PlaceOrder(site);
  for (auto& daemon : site.Daemons()) {
    daemon.mProcess->Signal(SIGTERM);
  }
  for (auto& daemon : site.Daemons()) {
    if (daemon.mProcess->Wait(20s) != 0) {
      Abandon("a daemon did not stop cleanly");
    }
  }
  std::printf("stopped cleanly\n");
  return EXIT_SUCCESS;
}
