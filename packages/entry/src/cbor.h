#pragma once

#include <bilberrytrail/platform/json_fields.h>

#include <string>
#include <string_view>

namespace bilberrytrail {

// Most values and deepest nesting of a CBOR value from another daemon.
struct CborBounds
{
  std::size_t mDepth = 16;
  std::size_t mValues = 250'000;
};

// Serializes a value as CBOR.
[[nodiscard]] std::string
WriteCbor(const Json& aValue);

// Parses CBOR. Fails with Corrupt when it is malformed or beyond the bounds;
// throws no exception.
[[nodiscard]] Result<Json>
ReadCbor(std::string_view aBytes, const CborBounds& aBounds = {});

// Returns bytes as a value that is written without conversion.
[[nodiscard]] Json
ToBinary(std::string_view aBytes);

// Reads a field that holds bytes; marks the field as bad when it holds none.
[[nodiscard]] std::string
ReadBinary(JsonFields& aFields, const Json& aObject, std::string_view aName);

} // namespace bilberrytrail
