#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace bilberrytrail {

using Json = nlohmann::json;

// Readers of one member of an answer, for showing it. A missing member or one
// of another type reads as empty, 0, false or an empty list. Control
// characters become '?', so that an answer cannot steer the terminal.

[[nodiscard]] std::string
TextOf(const Json& aJson, const char* aKey);

// As TextOf, but keeps line feeds and tabs.
[[nodiscard]] std::string
NoteOf(const Json& aJson, const char* aKey);

// Returns the number as text, "0" without one.
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
