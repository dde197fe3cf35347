// Main function of all test programs. Test cases named in the environment
// variable BILBERRYTRAIL_KNOWN_RED, one per line, are left out; tools/check
// sets it from KNOWN-RED.txt and prints them.

#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>

int
main(int argc, char** argv)
{
  doctest::Context context(argc, argv);
  const char* names = std::getenv("BILBERRYTRAIL_KNOWN_RED");
  std::istringstream lines(names == nullptr ? "" : names);
  std::string name;
  while (std::getline(lines, name)) {
    // A comma separates filters; '?' stands for any character.
    std::replace(name.begin(), name.end(), ',', '?');
    if (!name.empty()) {
      context.addFilter("test-case-exclude", name.c_str());
    }
  }
  return context.run();
}
