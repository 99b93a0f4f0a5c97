#include "../src/internal/chunkedbody.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace Burdock;

namespace
{

using Status = ChunkedBodyReader::Status;

constexpr std::size_t LineLimit = 100;
constexpr std::size_t BodyLimit = 1000;

Status statusAfter(const std::string &bytes)
{
    ChunkedBodyReader reader(LineLimit, BodyLimit);
    std::string body;
    std::string_view rest = bytes;
    return reader.read(rest, body);
}

} // namespace

TEST_CASE("A body in chunks reads the same however its bytes are cut into pieces", "[http][chunks]")
{
    const std::string bytes = "3\r\none\r\n00A;name=\"v\"\r\n\r\ntwo\nthre\r\n1 ;x\r\ne\r\n0\r\nX-Trailer: 1\r\n\r\nGET /";
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); ++second) {
            ChunkedBodyReader reader(LineLimit, BodyLimit);
            std::string body;
            std::string left;
            for (const auto &[from, to] : {std::pair(std::size_t{0}, first), std::pair(first, second), std::pair(second, bytes.size())}) {
                const std::vector<char> piece(bytes.begin() + static_cast<std::ptrdiff_t>(from), bytes.begin() + static_cast<std::ptrdiff_t>(to));
                std::string_view rest(piece.data(), piece.size());
                reader.read(rest, body);
                left += rest;
            }
            std::string_view none;
            REQUIRE(reader.read(none, body) == Status::Complete);
            REQUIRE(body == "one\r\ntwo\nthree");
            REQUIRE(left == "GET /");
        }
    }
}

TEST_CASE("A chunk whose size or end is not what HTTP says is malformed, one over the limit too large", "[http][chunks]")
{
    for (const char *bytes : {"zz\r\n",
                              "\r\n",
                              " 3\r\none",
                              "-3\r\n",
                              "+3\r\n",
                              "0x3\r\n",
                              "3 \r\n",
                              "3 x\r\n",
                              "3x\r\n",
                              "3\n",
                              "3\r\nonetwo\r\n",
                              "3\r\none\n",
                              "3\rx\n",
                              "3;\x01\r\n",
                              "0\r\nX: a\n"}) {
        INFO(bytes);
        CHECK(statusAfter(bytes) == Status::Malformed);
    }
    for (const std::string &bytes : {std::string("3e9\r\n"),
                                     std::string("fffffffffffffffffffff\r\n"),
                                     std::string("8000000000000000\r\n"),
                                     std::string("ffffffffffffffff\r\n"),
                                     "3e8\r\n" + std::string(1000, 'x') + "\r\n1\r\n",
                                     std::string(101, '0'),
                                     "1;" + std::string(100, 'x'),
                                     "0\r\n" + std::string(101, 'x'),
                                     "0\r\n" + std::string(60, 'x') + "\r\n" + std::string(40, 'x')}) {
        INFO(bytes);
        CHECK(statusAfter(bytes) == Status::TooLarge);
    }
    CHECK(statusAfter("3e8\r\n" + std::string(1000, 'x') + "\r\n0\r\n\r\n") == Status::Complete);
    CHECK(statusAfter("0\r\n\r") == Status::Incomplete);
}
