#include "../src/internal/responsehead.h"

#include <catch2/catch.hpp>
#include <vector>

using namespace Burdock;

namespace
{

using Status = ResponseHeadReader::Status;

constexpr std::size_t Limit = 1000;

Status statusAfter(const std::string &bytes)
{
    ResponseHeadReader reader(Limit);
    std::string_view rest = bytes;
    return reader.read(rest);
}

} // namespace

TEST_CASE("A head reads the same however its bytes are cut into pieces", "[http][head]")
{
    const std::string bytes =
        "HTTP/1.1 102 Processing\r\nNot-Executed: 1\r\n\r\nHTTP/1.0 503 Service Unavailable\r\nRetry-After:\t2 \r\nX-Empty:\r\nVIA: a\r\nvia: b\r\n"
        "Connection: x, Keep-Alive\r\nContent-Length: 4\r\n\r\nfull\r\n";
    for (std::size_t first = 0; first <= bytes.size(); ++first) {
        for (std::size_t second = first; second <= bytes.size(); second += 9) {
            ResponseHeadReader reader(Limit);
            std::string left;
            for (const auto &[from, to] : {std::pair(std::size_t{0}, first), std::pair(first, second), std::pair(second, bytes.size())}) {
                // A copy of exact size, so that a memory checker detects reads beyond the piece.
                const std::vector<char> piece(bytes.begin() + static_cast<std::ptrdiff_t>(from), bytes.begin() + static_cast<std::ptrdiff_t>(to));
                std::string_view rest(piece.data(), piece.size());
                reader.read(rest);
                left += rest;
            }
            std::string_view none;
            REQUIRE(reader.read(none) == Status::Complete);
            CHECK(left == "full\r\n");
            CHECK(reader.head().status == 503);
            CHECK(reader.head().headers
                  == std::map<std::string, std::string>{
                      {"retry-after", "2"}, {"x-empty", ""}, {"via", "a, b"}, {"connection", "x, Keep-Alive"}, {"content-length", "4"}});
            CHECK(reader.head().repeatedHeaders == std::set<std::string>{"via"});
            CHECK(reader.head().framing == "HTTP/1.1 503 \r\nContent-Length: 4\r\n\r\n");
        }
    }
}

TEST_CASE("A status line is exact, and its status one that HTTP defines for a response", "[http][head]")
{
    for (const char *line :
         {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.0 599 \t\xe9!", "HTTP/1.1 404 no HTTP/1.1 here", "HTTP/1.1 300 HTTP/2.0 200"}) {
        INFO(line);
        CHECK(statusAfter(line + std::string("\r\n\r\n")) == Status::Complete);
        CHECK(statusAfter(line + std::string("\n\n")) == Status::Malformed);
        CHECK(statusAfter(" " + std::string(line) + "\r\n\r\n") == Status::Malformed);
        CHECK(statusAfter("\r\n" + std::string(line) + "\r\n\r\n") == Status::Malformed);
    }
    for (const char *line : {"",
                             "HTTP/1.1",
                             "HTTP/1.1 ",
                             "HTTP/1.1 2",
                             "HTTP/1.1 20",
                             "HTTP/1.1 2000",
                             "HTTP/1.1 -200",
                             "HTTP/1.1 +20",
                             "HTTP/1.1 099",
                             "HTTP/1.1 000",
                             "HTTP/1.1 101 Switching Protocols",
                             "HTTP/1.1 600",
                             "HTTP/1.1 999",
                             "HTTP/1.1 20x",
                             "HTTP/1.1 200OK",
                             "HTTP/1.1 200\tOK",
                             "HTTP/1.1  200 OK",
                             "HTTP/1.1\t200 OK",
                             "HTTP/1.2 200 OK",
                             "HTTP/1.10 200 OK",
                             "HTTP/11 200 OK",
                             "HTTP/2.0 200 OK",
                             "http/1.1 200 OK",
                             "HTTP/1.1 200 O\rK",
                             "HTTP/1.1 200 O\x01K",
                             "HTTP/1.1 200 O\x7fK",
                             "HTTP/1.1 503 Service UnavHTTP/1.1 200 OK",
                             "HTTP/1.1 503 HTTP/1.0 200"}) {
        INFO(line);
        CHECK(statusAfter(line + std::string("\r\n\r\n")) == Status::Malformed);
    }
}

TEST_CASE("Bytes that cannot become a status line are refused before their line ends", "[http][head]")
{
    for (const char *bytes : {"x", "HTTP/2", "\r", "h", "HTTPS"}) {
        CHECK(statusAfter(bytes) == Status::Malformed);
    }
    CHECK(statusAfter("HTT") == Status::Incomplete);
}

TEST_CASE("Each header has a token for a name, and a value that was written in one piece", "[http][head]")
{
    const auto after = [](const std::string &header) { return statusAfter("HTTP/1.1 200 OK\r\n" + header + "\r\n\r\n"); };
    for (const char *header : {"A:", "A: b", "a-!#$%&'*+.^_`|~9:\t b \t c\t", "A: HTTP/1.1", "A: HTTP/1.1 OK", "A: 1.1 200 OK", "A: \xff"}) {
        INFO(header);
        CHECK(after(header) == Status::Complete);
    }
    for (const char *header : {"A",
                               ":",
                               ": b",
                               "A : b",
                               "A\t: b",
                               " A: b",
                               "A: b\r\n continued",
                               "A: b\r\n\tcontinued",
                               "A B: c",
                               "A/B: c",
                               "\xc3\xa4: b",
                               "A: b\rc",
                               "A: b\nB: c",
                               "A: \x01",
                               "A: \x7f",
                               "HTTP/1.1 200 OK",
                               "HTTP/1.1 200 OK: fine",
                               "NotHTTP/1.1 200 OK",
                               "Not-Executed: HTTP/1.1 200 OK",
                               "Not-Executed:HTTP/1.1 200",
                               "Not-Executed: the queHTTP/1.0 503 Service Unavailable",
                               "X: HTTP/1.1 HTTP/1.1 200"}) {
        INFO(header);
        CHECK(after(header) == Status::Malformed);
    }
    CHECK(after(std::string("A: b\0c", 6)) == Status::Malformed);
}

TEST_CASE("A head is refused unless the length of its body is stated in one way", "[http][head]")
{
    const auto after = [](const std::string &headers, const std::string &line = "HTTP/1.1 200 OK") {
        return statusAfter(line + "\r\n" + headers + "\r\n\r\n");
    };
    for (const char *headers :
         {"A: b", "Content-Length: 0", "content-length:007", "TRANSFER-ENCODING: Chunked", "Connection: close", "Connection: keep-alive, close"}) {
        INFO(headers);
        CHECK(after(headers) == Status::Complete);
    }
    for (const char *headers : {"Content-Length:",
                                "Content-Length: -1",
                                "Content-Length: +1",
                                "Content-Length: 1x",
                                "Content-Length: 0x1",
                                "Content-Length: 1 2",
                                "Content-Length: 1, 1",
                                "Content-Length: 1\r\nContent-Length: 1",
                                "Content-Length: 9999999999999999999",
                                "Content-Length: 1\r\nTransfer-Encoding: chunked",
                                "Transfer-Encoding:",
                                "Transfer-Encoding: identity",
                                "Transfer-Encoding: gzip, chunked",
                                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"}) {
        INFO(headers);
        CHECK(after(headers) == Status::Malformed);
    }
    CHECK(after("Transfer-Encoding: chunked", "HTTP/1.0 200 OK") == Status::Malformed);
    CHECK(after("Content-Length: 0", "HTTP/1.1 100 Continue") == Status::Malformed);
}

TEST_CASE("A head over the limit is refused, interim responses included", "[http][head]")
{
    const std::string head = "HTTP/1.1 200 OK\r\nA: ";
    CHECK(statusAfter(head + std::string(Limit - head.size(), 'x')) == Status::Incomplete);
    CHECK(statusAfter(head + std::string(Limit - head.size() + 1, 'x')) == Status::Malformed);
    std::string interim;
    while (interim.size() <= Limit) {
        CHECK(statusAfter(interim) == Status::Incomplete);
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    CHECK(statusAfter(interim) == Status::Malformed);
}

TEST_CASE("A reader that was reset reads the next head", "[http][head]")
{
    ResponseHeadReader reader(Limit);
    for (const std::string bytes : {"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nCont", "nonsense\r\n", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n"}) {
        std::string_view rest = bytes;
        reader.read(rest);
        reader.reset();
        const std::string next = "HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody";
        rest = next;
        CHECK(reader.read(rest) == Status::Complete);
        CHECK(rest == "body");
        CHECK(reader.head().status == 200);
        CHECK(reader.head().headers == std::map<std::string, std::string>{{"a", "b"}});
        reader.reset();
    }
}
