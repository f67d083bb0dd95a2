#include <LibWorkspace/Credentials.h>

#include <doctest/doctest.h>

#include <string>

using namespace Dogwoodkeel;

namespace
{

using State = Credentials::State;

Credentials read(const std::string &line)
{
    return readCredentials({line});
}

} // namespace

TEST_CASE("a key is read with any case of the scheme and any spaces before it")
{
    const KeyDigest key = KeyDigest::of("abc-._~+/9==");
    for (const char *const line : {"Bearer abc-._~+/9==", "bearer abc-._~+/9==", "BEARER   abc-._~+/9=="}) {
        CHECK(read(line).state == State::Given);
        CHECK(read(line).key == key);
    }
}

TEST_CASE("a missing line differs from a line without a key")
{
    CHECK(readCredentials({}).state == State::Absent);
    CHECK(read("").state == State::Malformed);
    CHECK(read("Bearer").state == State::Malformed);
    CHECK(read("Bearer ").state == State::Malformed);
}

// Guards against a key that this system and an upstream server would read differently.
TEST_CASE("anything but a single bearer key is malformed")
{
    for (const char *const line :
         {"Basic abc", "Bearer a b", "Bearer a,b", "Bearer =", "Bearer a=b", "Bearer\tabc", "abc", "Bearer \"abc\""}) {
        CHECK_MESSAGE(read(line).state == State::Malformed, line);
    }
    CHECK(readCredentials({"Bearer abc", "Bearer abc"}).state == State::Malformed);
    CHECK(read("Bearer " + std::string(8192, 'k')).state == State::Malformed);
}

TEST_CASE("different keys have different digests and hashes")
{
    CHECK(KeyDigest::of("a") == KeyDigest::of("a"));
    CHECK(KeyDigest::of("a") != KeyDigest::of("A"));
    CHECK(std::hash<KeyDigest>()(KeyDigest::of("a")) != std::hash<KeyDigest>()(KeyDigest::of("b")));
}
