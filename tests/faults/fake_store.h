#pragma once

#include "request_world.h"

namespace bilberrytrail {

// Makes the store that a daemon sees.
[[nodiscard]] std::unique_ptr<Store>
MakeFakeStore(RequestWorld& aWorld, RequestWorld::Node& aNode);

// An import that the daemon orders from its engine, with the faults that are
// due.
[[nodiscard]] CallResult<std::vector<BlockRef>>
ImportAtFakeEngine(RequestWorld& aWorld,
                   RequestWorld::Node& aNode,
                   const std::vector<BlockRef>& aRefs,
                   Duration aTimeout);

} // namespace bilberrytrail
