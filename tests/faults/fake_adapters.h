#pragma once

#include "request_world.h"

#include "adapter_factory.h"

#include <memory>

namespace bilberrytrail {

// Makes the fakes through which one daemon of the world reaches the outside.
[[nodiscard]] std::unique_ptr<AdapterFactory>
MakeFakeAdapters(RequestWorld& aWorld, RequestWorld::Node& aNode);

} // namespace bilberrytrail
