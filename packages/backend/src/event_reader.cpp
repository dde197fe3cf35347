#include "event_reader.h"

#include <utility>

namespace bilberrytrail {

namespace {

constexpr std::string_view kDataField = "data:";

} // namespace

EventReader::EventReader(HttpStream aStream)
  : mStream(std::move(aStream))
{
}

Result<std::optional<Json>>
EventReader::Next(Duration aTimeout)
{
  const auto deadline = MonotonicNow() + aTimeout;
  while (true) {
    auto line = mStream.ReadLine(deadline);
    if (!line) {
      return std::move(line).error();
    }
    if (!line.value()) {
      return std::optional<Json>();
    }
    const std::string_view text = *line.value();
    if (!text.starts_with(kDataField)) {
      continue;
    }
    auto json = ParseJson(text.substr(kDataField.size()));
    if (!json) {
      return std::move(json).error();
    }
    return std::optional<Json>(std::move(json).value());
  }
}

} // namespace bilberrytrail
