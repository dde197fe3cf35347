#include <bilberrytrail/entry/event_splitter.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("Add returns the bytes up to the end of the last complete event")
{
  struct Row
  {
    std::string mBytes;
    std::string mWhole;
    std::string mRest;
    std::string mLastId;
  };
  for (const Row& row :
       { Row{ "", "", "", "" },
         Row{ "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", "", "1" },
         Row{ "id: 1\n\nid: 2\nda", "id: 1\n\n", "id: 2\nda", "1" },
         Row{ "id:7\r\ndata: a\r\n\r\n", "id:7\r\ndata: a\r\n\r\n", "", "7" },
         Row{ "data: id: 9\n\n", "data: id: 9\n\n", "", "" },
         Row{ "id: 1", "", "id: 1", "" } }) {
    CAPTURE(row.mBytes);
    EventSplitter splitter;
    CHECK(splitter.Add(row.mBytes) == row.mWhole);
    CHECK(splitter.Rest() == row.mRest);
    CHECK(splitter.LastId() == row.mLastId);
  }
}

TEST_CASE("the result does not depend on how the stream is split into pieces")
{
  const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\n\n";
  for (std::size_t n = 1; n <= stream.size(); ++n) {
    EventSplitter splitter;
    std::string out;
    for (std::size_t at = 0; at < stream.size(); at += n) {
      out += splitter.Add(stream.substr(at, n));
    }
    CHECK(out == stream);
    CHECK(splitter.LastId() == "3");
    CHECK(splitter.Rest().empty());
  }
}
