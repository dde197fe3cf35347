#include "make_trace.h"

#include <fstream>
#include <iostream>

// Writes the kept traces into the folder named by the only argument.
int
main(int aCount, char** aArguments)
{
  using namespace bilberrytrail;
  if (aCount != 2) {
    std::cerr << "usage: write_traces FOLDER\n";
    return 2;
  }
  for (const TraceSite& site : kTraceSites) {
    for (const TraceTheme theme : AllOf<TraceTheme>()) {
      std::ofstream file(std::string(aArguments[1]) + "/" +
                         std::string(site.mName) + "-" +
                         std::string(ToName(theme)) + ".jsonl");
      file << WriteTrace(MakeTrace(site, theme, kTraceSeed));
    }
  }
  return 0;
}
