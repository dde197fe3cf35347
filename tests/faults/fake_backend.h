#pragma once

#include "request_world.h"

#include <memory>

namespace bilberrytrail {

// Makes the fake backend servers as one daemon reaches them.
[[nodiscard]] std::unique_ptr<Engine>
MakeFakeEngine(RequestWorld& aWorld, RequestWorld::Node& aNode);
[[nodiscard]] std::unique_ptr<PlainService>
MakeFakeService(RequestWorld& aWorld, RequestWorld::Node& aNode);

} // namespace bilberrytrail
