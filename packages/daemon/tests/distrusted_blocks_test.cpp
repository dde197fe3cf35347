#include "homed_server.h"

#include <doctest/doctest.h>

namespace bilberrytrail {

TEST_CASE("A distrusted block and those behind it are not used until evicted")
{
  HomedServer server(VmEntry(), MakeFairServerQueue(QueueSettings()));
  const std::vector<BlockId> blocks{ BlockId(1), BlockId(2), BlockId(3) };
  const std::vector<BlockId> second{ BlockId(2) };
  CHECK(server.TrustedPrefix(blocks) == 3);
  server.Distrust(BlockId(2));
  CHECK(server.TrustedPrefix(blocks) == 1);
  SUBCASE("not when the server says that it cached it")
  {
    server.NoteCached(second);
    CHECK(server.TrustedPrefix(blocks) == 1);
  }
  SUBCASE("again when the server has evicted it")
  {
    server.NoteEvicted(second);
    CHECK(server.TrustedPrefix(blocks) == 3);
  }
  SUBCASE("not when an event was missed, though nothing counts as resident")
  {
    server.NoteCached(blocks);
    CHECK(server.ForgetDoubtful().size() == 3);
    CHECK(server.ResidentPrefix(blocks) == 0);
    CHECK(server.TrustedPrefix(blocks) == 1);
  }
  SUBCASE("again when the server has restarted")
  {
    (void)server.ForgetResident();
    CHECK(server.TrustedPrefix(blocks) == 3);
  }
}

} // namespace bilberrytrail
