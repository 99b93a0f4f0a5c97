#include <burdock/daemon/callerjson.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Burdock;
using nlohmann::json;

namespace
{

HttpServerRequest post(const std::string &body, std::map<std::string, std::string> headers = {{"x-caller", "technician"}})
{
    return HttpServerRequest{"POST", "/v1/query", {}, std::move(headers), body};
}

} // namespace

TEST_CASE("All fields of a query body are parsed", "[daemon][json]")
{
    const auto query = readQuery(post(R"({"index":"parts","query":"belt","limit":20,"deadlineMs":80})"));
    REQUIRE(query);
    CHECK(*query == Query{CallerId("technician"), IndexName("parts"), "belt", 20, std::chrono::milliseconds(80)});
}

TEST_CASE("A malformed query is refused as not run, and the message names the invalid field", "[daemon][json]")
{
    struct Row
    {
        std::string body;
        std::string named;
    };
    const std::vector<Row> rows{
        {"", "JSON object"},
        {"[1]", "JSON object"},
        {"{\"index\":", "JSON object"},
        {std::string("{\"index\":\"\xff\"}"), "JSON object"},
        {R"({"query":"belt","limit":20})", "'index'"},
        {R"({"index":7,"query":"belt","limit":20})", "'index'"},
        {R"({"index":"parts","limit":20})", "'query'"},
        {R"({"index":"parts","query":"belt"})", "'limit'"},
        {R"({"index":"parts","query":"belt","limit":0})", "'limit'"},
        {R"({"index":"parts","query":"belt","limit":1001})", "'limit'"},
        {R"({"index":"parts","query":"belt","limit":2.5})", "'limit'"},
        {R"({"index":"parts","query":"belt","limit":18446744073709551615})", "'limit'"},
        {R"({"index":"parts","query":"belt","limit":20,"deadlineMs":"soon"})", "'deadlineMs'"},
        {R"({"index":"parts","query":")" + std::string(5000, 'x') + R"(","limit":20})", "'query'"},
    };
    for (const Row &row : rows) {
        const auto query = readQuery(post(row.body));
        INFO(row.body);
        REQUIRE_FALSE(query);
        CHECK(query.error().code == Errc::BadRequest);
        CHECK(query.error().verdict == Verdict::NotRun);
        CHECK(query.error().message.find(row.named) != std::string::npos);
    }
    const std::string deep(20000, '[');
    CHECK_FALSE(readQuery(post(deep)));
    CHECK(readQuery(post("{}", {})).error().code == Errc::UnknownCaller);
    CHECK(readCommand(post(R"({"command":"invoice"})")).error().message.find("'payload'") != std::string::npos);
}

TEST_CASE("A command whose key is no visible ASCII is refused as not run, since the key is passed on as JSON", "[daemon][json]")
{
    const std::string body = R"({"command":"invoice","payload":"x"})";
    CHECK(readCommand(post(body, {{"x-caller", "technician"}, {"idempotency-key", "1764900000-a"}})));
    for (const char *key : {"\xff\xfe", "1764900000-\xc3", "a b"}) {
        const auto command = readCommand(post(body, {{"x-caller", "technician"}, {"idempotency-key", key}}));
        REQUIRE_FALSE(command);
        CHECK(command.error().code == Errc::BadRequest);
        CHECK(command.error().verdict == Verdict::NotRun);
    }
}

TEST_CASE("A failure response has the status, code, verdict and Retry-After", "[daemon][json]")
{
    const HttpServerResponse answer = writeFailure(Failure{Errc::Overloaded, Verdict::NotRun, "come back", std::chrono::milliseconds(1200)});
    CHECK(answer.status == 429);
    CHECK(answer.headers.at("Retry-After") == "2");
    const json error = json::parse(answer.body).at("error");
    CHECK(error.at("code") == "overloaded");
    CHECK(error.at("verdict") == "notRun");
    CHECK(error.at("retryAfterMs") == 1200.0);
}

TEST_CASE("A query response contains the snapshot, the coverage and the missing shards", "[daemon][json]")
{
    QueryAnswer answer;
    answer.snapshot = SnapshotId{IndexName("parts"), 7, 2};
    answer.coverage = Coverage{KeySpace / 2, {ShardId("3")}};
    answer.hits = {Hit{"d1", 2.5, "broken \xff text"}};
    const json body = json::parse(writeAnswer("r1", answer).body);
    CHECK(body.at("snapshot").at("version") == 7);
    CHECK(body.at("coverage").at("fraction") == 0.5);
    CHECK(body.at("coverage").at("missing") == json{"3"});
    CHECK(body.at("hits").at(0).at("id") == "d1");
}
