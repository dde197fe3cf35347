#include <bilberrytrail/base/digest.h>

#include <doctest/doctest.h>

using namespace bilberrytrail;

TEST_CASE("digests match published test vectors")
{
  CHECK(Sha256Hex("abc") ==
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
  CHECK(HmacSha256Hex("Jefe", "what do ya want for nothing?") ==
        "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

TEST_CASE("constant-time comparison distinguishes equal and different texts")
{
  CHECK(ConstantTimeEqual("same", "same"));
  CHECK_FALSE(ConstantTimeEqual("same", "sane"));
  CHECK_FALSE(ConstantTimeEqual("same", "sam"));
  CHECK(ConstantTimeEqual("", ""));
}

TEST_CASE("random tokens differ")
{
  CHECK(RandomToken() != RandomToken());
  CHECK(RandomToken().size() == 32);
}
