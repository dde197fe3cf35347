#include "make_trace.h"
#include "replay.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

namespace bilberrytrail {
namespace {

std::string
FileOf(const TraceSite& aSite, TraceTheme aTheme)
{
  return std::string(TRACE_FOLDER) + "/" + std::string(aSite.mName) + "-" +
         std::string(ToName(aTheme)) + ".jsonl";
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Compares with each stated outcome; a name that ends with _max or _min is a
// bound.
void
CheckOutcome(const Trace& aTrace, const std::map<std::string, double>& aSeen)
{
  for (const auto& outcome : aTrace.mOutcome) {
    const std::string& name = outcome.first;
    const double stated = outcome.second;
    INFO("outcome ", name);
    const bool isMax = name.ends_with("_max");
    const bool isMin = name.ends_with("_min");
    const auto key = isMax || isMin ? name.substr(0, name.size() - 4) : name;
    const auto it = aSeen.find(key);
    const double seen = it == aSeen.end() ? 0 : it->second;
    CHECK((isMax ? seen <= stated : isMin ? seen >= stated : seen == stated));
    CAPTURE(seen);
    CAPTURE(stated);
  }
}

TEST_CASE("the kept traces come to their stated outcomes")
{
  for (const TraceSite& site : kTraceSites) {
    for (const TraceTheme theme : AllOf<TraceTheme>()) {
      const auto path = FileOf(site, theme);
      CAPTURE(path);
      const auto trace = ReadTrace(ReadFile(path));
      REQUIRE(trace.has_value());
      CHECK(trace.value().mEngines == site.mEngines);
      CHECK(trace.value().mServices == site.mServices);
      const auto seen = ReplayTrace(trace.value());
      std::string text;
      for (const auto& [name, value] : seen) {
        text += " " + name + "=" + std::to_string(value);
      }
      CAPTURE(text);
      CheckOutcome(trace.value(), seen);
    }
  }
}

TEST_CASE("the generator makes the kept traces")
{
  for (const TraceSite& site : kTraceSites) {
    for (const TraceTheme theme : AllOf<TraceTheme>()) {
      const auto path = FileOf(site, theme);
      CAPTURE(path);
      CHECK(ReadFile(path) == WriteTrace(MakeTrace(site, theme, kTraceSeed)));
    }
  }
}

TEST_CASE("a bad line of a trace is refused")
{
  for (const char* text : { "",
                            "{}\n",
                            "x\n",
                            "{\"kind\":\"request\",\"at_ms\":-1}\n",
                            "{\"kind\":\"site\",\"site\":\"s\"}\n" }) {
    CAPTURE(text);
    CHECK_FALSE(ReadTrace(text).has_value());
  }
}

} // namespace
} // namespace bilberrytrail
