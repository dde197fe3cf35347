#pragma once

#include "site.h"

#include <bilberrytrail/platform/json_fields.h>

#include <doctest/doctest.h>

namespace bilberrytrail {

// Applies a first release note and waits until it is in force everywhere.
inline void
ApplyFirst(Site& aSite, const std::string& aNote)
{
  const auto applied = aSite.Operate(0,
                                     "POST",
                                     "/operator/release/apply",
                                     Json{ { "product", "brotlag" },
                                           { "against", 0 },
                                           { "id", "first" },
                                           { "note", aNote } }
                                       .dump());
  REQUIRE_MESSAGE(applied.mStatus == 200, applied.mBody);
  for (std::size_t n = 0; n < aSite.Daemons().size(); ++n) {
    REQUIRE(aSite.AwaitRelease(n, 1, 20s));
  }
}

// Starts a site with the sample release in force.
inline void
StartWithRelease(Site& aSite)
{
  aSite.Start();
  ApplyFirst(aSite, SampleNote("brotlag", 0, "v1", aSite.Engines().size()));
}

} // namespace bilberrytrail
