#include "../src/internal/httprequestparser.h"

#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <vector>

using namespace Burdock;

namespace
{

constexpr std::size_t HeaderLimit = 1000;
constexpr std::size_t BodyLimit = 1000;

/// Parses the bytes in two pieces and returns the requests. Each piece is allocated with its exact size, so that a memory
/// checker detects reads beyond its end.
std::vector<HttpServerRequest> parseInTwo(const std::string &bytes, std::size_t cut)
{
    HttpRequestParser parser(HeaderLimit, BodyLimit);
    const std::unique_ptr<evbuffer, void (*)(evbuffer *)> input(evbuffer_new(), &evbuffer_free);
    std::vector<HttpServerRequest> requests;
    for (const auto &[from, to] : {std::pair(std::size_t{0}, cut), std::pair(cut, bytes.size())}) {
        const std::vector<char> piece(bytes.begin() + static_cast<std::ptrdiff_t>(from), bytes.begin() + static_cast<std::ptrdiff_t>(to));
        evbuffer_add_reference(input.get(), piece.data(), piece.size(), nullptr, nullptr);
        HttpRequestParser::Status status = parser.read(input.get());
        while (status == HttpRequestParser::Status::Complete) {
            requests.push_back(parser.takeRequest());
            status = parser.read(input.get());
        }
        REQUIRE(status == HttpRequestParser::Status::Incomplete);
        // Copy the bytes that the parser left in the buffer, because the piece's memory is freed.
        std::string rest(evbuffer_get_length(input.get()), 0);
        evbuffer_remove(input.get(), rest.data(), rest.size());
        evbuffer_add(input.get(), rest.data(), rest.size());
    }
    return requests;
}

} // namespace

TEST_CASE("requests are parsed equally wherever the input is split", "[http][parser]")
{
    const std::string bytes = "POST /a?x=1%202 HTTP/1.1\r\nHost: h\r\nX-Empty:\r\nX-Blank: \t v w \r\nContent-Length: 5\r\n\r\nhello"
                              "GET http://host:80/b HTTP/1.1\r\n\r\n"
                              "POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                              "HEAD /d HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
    for (std::size_t cut = 0; cut <= bytes.size(); ++cut) {
        INFO("split at " << cut);
        const auto requests = parseInTwo(bytes, cut);
        REQUIRE(requests.size() == 4);
        CHECK(requests[0].method == "POST");
        CHECK(requests[0].path == "/a");
        CHECK(requests[0].query == std::map<std::string, std::string>{{"x", "1 2"}});
        CHECK(requests[0].headers == std::map<std::string, std::string>{{"host", "h"}, {"x-empty", ""}, {"x-blank", "v w"}, {"content-length", "5"}});
        CHECK(requests[0].body == "hello");
        CHECK(requests[1].path == "/b");
        CHECK(requests[2].path == "/c");
        CHECK(requests[2].body == "abcde");
        CHECK(requests[3].method == "HEAD");
    }
}

TEST_CASE("a body in chunks is read in the spellings of the transfer encoding that are understood", "[http][parser]")
{
    for (const char *encoding : {"chunked", "Chunked"}) {
        INFO(encoding);
        const auto requests = parseInTwo(std::string("POST /c HTTP/1.1\r\nTransfer-Encoding: ") + encoding + "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 0);
        REQUIRE(requests.size() == 1);
        CHECK(requests[0].body == "abcde");
    }
}
