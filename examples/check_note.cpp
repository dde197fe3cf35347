// Checks a release note, applies it to an empty product state and prints the
// resulting state:
//
//   example_check_note first.ini

#include <bilberrytrail/release/release_note.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

int
main(int argc, char** argv)
{
  if (argc != 2) {
    std::cerr << "usage: example_check_note FILE\n";
    return EXIT_FAILURE;
  }
  std::ostringstream text;
  text << std::ifstream(argv[1]).rdbuf();
  const auto note = bilberrytrail::CheckNote(text.str(), argv[1]);
  if (!note) {
    std::cerr << note.error().mMessage << "\n";
    return EXIT_FAILURE;
  }
  bilberrytrail::ProductState before;
  before.mProduct = note.value().mProduct;
  const auto after = bilberrytrail::ApplyNote(before, note.value());
  if (!after) {
    std::cerr << after.error().mMessage << "\n";
    return EXIT_FAILURE;
  }
  std::cout << bilberrytrail::ToText(after.value()) << "\n";
  return EXIT_SUCCESS;
}
