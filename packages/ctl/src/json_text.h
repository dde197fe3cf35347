#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bilberrytrail {

using Json = nlohmann::json;

// Accessors for one member of a daemon's reply. A missing member or one of
// another type reads as empty, 0, false or an empty list. Control characters
// are replaced by '?', so that a reply cannot send control sequences to the
// terminal.

[[nodiscard]] std::string
TextOf(const Json& aJson, const char* aKey);

// Like TextOf, but keeps line feeds and tabs.
[[nodiscard]] std::string
NoteOf(const Json& aJson, const char* aKey);

// Returns the number as text, or "-" if the member is not a number.
[[nodiscard]] std::string
NumberOf(const Json& aJson, const char* aKey);

[[nodiscard]] std::uint64_t
CountOf(const Json& aJson, const char* aKey);

[[nodiscard]] double
RealOf(const Json& aJson, const char* aKey);

[[nodiscard]] bool
FlagOf(const Json& aJson, const char* aKey);

[[nodiscard]] const Json&
ListOf(const Json& aJson, const char* aKey);

} // namespace bilberrytrail
