#include <bilberrytrail/release/release_note.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

namespace {

const std::string kHashA(64, 'a');
const std::string kHashB(64, 'b');

const std::string kHead = "[release]\nproduct = brotlag\nagainst = 0\n";

std::string
Account(const std::string& aTitle, const std::string& aHash)
{
  return "[" + aTitle + "]\ntoken_sha256 = " + aHash +
         "\nrequests_per_second = 20\ntokens_per_second = 8000\n"
         "concurrent = 16\n";
}

const std::string kModel =
  "[add model guide]\nversion = v1\nmin_servers = 2\nmax_servers = 4\n";
const std::string kAdapter = "[add adapter fold]\nmodel = guide\n";
const std::string kService = "[add service orders]\ngroup = orders\n"
                             "repeatable = GET /stock, GET /slots\n"
                             "timeout_ms = 2000\n";

std::string
FullNote()
{
  return kHead + Account("add account tailor", kHashA) + kModel + kAdapter +
         kService;
}

ProductState
FirstState()
{
  const auto note = CheckNote(FullNote(), "first.ini");
  REQUIRE_MESSAGE(note, note.error().mMessage);
  auto state = ApplyNote(ProductState{}, note.value());
  REQUIRE_MESSAGE(state, state.error().mMessage);
  return state.value();
}

std::string
MessageOf(const std::string& aText, const ProductState& aState)
{
  const auto note = CheckNote(aText, "n.ini");
  if (!note) {
    return note.error().mMessage;
  }
  const auto state = ApplyNote(aState, note.value());
  return state ? "" : state.error().mMessage;
}

} // namespace

TEST_CASE("a first note creates a state that survives a JSON round trip")
{
  const ProductState state = FirstState();
  CHECK(state.mNumber == ReleaseNumber(1));
  CHECK(state.mProduct == ProductId("brotlag"));
  const AccountSpec& account = state.mAccounts.at(AccountId("tailor"));
  CHECK(account.mTokenHashes == std::vector<std::string>{ kHashA });
  CHECK(account.mConcurrent == 16);
  CHECK(state.mModels.at(ModelId("guide")).mMaxServers == 4);
  CHECK(state.mServices.at("orders").mTimeout == 2s);
  CHECK(state.mServices.at("orders").mRepeatable.size() == 2);
  const auto back = ProductStateFromText(ToText(state));
  REQUIRE(back);
  CHECK(back.value() == state);
  CHECK(HashOf(back.value()) == HashOf(state));
}

TEST_CASE(
  "a change sets only the given fields and a withdrawal removes the item")
{
  const std::string head = "[release]\nproduct = brotlag\nagainst = 1\n";
  const auto note = CheckNote(head + "[change model guide]\nversion = v2\n" +
                                "[withdraw]\naccounts = tailor\n",
                              "second.ini");
  REQUIRE(note);
  const auto state = ApplyNote(FirstState(), note.value());
  REQUIRE(state);
  const ModelSpec& model = state.value().mModels.at(ModelId("guide"));
  CHECK(model.mVersion == VersionId("v2"));
  CHECK(model.mMinServers == 2);
  CHECK(state.value().mAccounts.empty());
  CHECK(state.value().mNumber == ReleaseNumber(2));
}

TEST_CASE("invalid notes are refused with file and line")
{
  const std::string head = "[release]\nproduct = brotlag\nagainst = 1\n";
  struct Row
  {
    std::string mText;
    std::string mMessage;
  };
  const Row rows[] = {
    { "nonsense\n", "n.ini:1: " },
    { "[release]\nproduct = brotlag\n", "n.ini:1: section [release]" },
    { head, "n.ini:1: the note adds, changes and withdraws nothing" },
    { head + "[release]\nid = a\n[colour]\na = b\n", "n.ini:" },
    { head + "[add colour red]\na = b\n", "n.ini:5: expected account" },
    { head + "[change model guide]\nsize = 3\n", "n.ini:5: unknown key" },
    { head + "[change model guide]\nmin_servers = -1\n",
      "n.ini:5: min_servers: expected a whole number" },
    { head + "[change model guide]\nmin_servers = 2\nmin_servers = 3\n",
      "n.ini:6: 'min_servers' appears twice" },
    { head + "[add model other]\nversion = v1\n", "lacks 'min_servers'" },
    { head + "[change model guide]\nmin_servers = 5\n",
      "n.ini:5: model 'guide': min_servers 5 is above max_servers 4" },
    { head + "[change model other]\nversion = v2\n",
      "n.ini:5: model 'other' does not exist" },
    { head + Account("add account tailor", kHashB),
      "n.ini:5: account 'tailor' exists already" },
    { head + Account("add account second", kHashA),
      "n.ini:5: accounts 'second' and 'tailor' have the same token" },
    { head + Account("add account second", kHashB + ", " + kHashB),
      "n.ini:5: accounts 'second' and 'second' have the same token" },
    { head + Account("add account second", "abc"), "n.ini:5: token_sha256" },
    { head + Account("add account second", kHashB) +
        "[withdraw]\naccounts = second\n",
      "n.ini:10: account 'second' is in the note as add and as withdraw" },
    { head + "[withdraw]\nmodels = guide\n",
      "n.ini:5: adapter 'fold' is for model 'guide', which does not exist" },
    { head + "[withdraw]\naccounts = nobody\n",
      "n.ini:5: account 'nobody' does not exist" },
    { head + "[withdraw]\ncolours = red\n", "n.ini:5: expected accounts" },
    { head + "[change adapter fold]\nmodel = none\n",
      "n.ini:5: adapter 'fold' is for model 'none'" },
    { head + "[change service orders]\nrepeatable = stock\n",
      "n.ini:5: repeatable: expected a list" },
    { head + "[change service orders]\ntimeout_ms = 0\n",
      "n.ini:5: timeout_ms" },
    { kHead + "[withdraw]\naccounts = tailor\n", "written against release 0" },
    { "[release]\nproduct = other\nagainst = 1\n[withdraw]\naccounts = a\n",
      "the note is for product 'other'" },
  };
  const ProductState state = FirstState();
  for (const auto& it : rows) {
    CAPTURE(it.mText);
    const std::string message = MessageOf(it.mText, state);
    CAPTURE(message);
    CHECK(message.find(it.mMessage) != std::string::npos);
  }
}

TEST_CASE("a damaged state text is refused")
{
  const std::string good = ToText(FirstState());
  for (std::size_t n = 0; n < good.size(); ++n) {
    CHECK_FALSE(ProductStateFromText(good.substr(0, n)));
  }
  CHECK_FALSE(ProductStateFromText("[]"));
  CHECK_FALSE(ProductStateFromText(R"({"product":1})"));
}
