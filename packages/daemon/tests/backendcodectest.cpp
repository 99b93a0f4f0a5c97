#include <burdock/daemon/backendcodec.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

SubRequest searchRequest()
{
    SubRequest request;
    request.id = SubRequestId{InstanceId("a"), 1, 42};
    request.snapshot = SnapshotId{IndexName("parts"), 7, 2};
    request.shard = ShardId("3");
    request.range = KeyRange{0, 10};
    request.limit = 5;
    return request;
}

const std::string GoodBody = R"({"requestId":"a/1/42","index":"parts","version":7,"mapGeneration":2,"shard":"3","begin":0,"end":10,"total":1,)"
                             R"("hits":[{"id":"d1","score":2.5,"body":"x"}],"versions":{"parts":{"oldest":6,"newest":8}}})";

} // namespace

TEST_CASE("A server's response is decoded with its snapshot, hits and version windows", "[daemon][backend]")
{
    const BackendReply reply = decodeBackendResponse(searchRequest(), HttpResponse{200, {}, GoodBody});
    CHECK(reply.reply.code == Errc::Ok);
    CHECK(reply.reply.snapshot == searchRequest().snapshot);
    CHECK(reply.reply.hits == std::vector<Hit>{Hit{"d1", 2.5, "x"}});
    CHECK(reply.versions.at(0).second == VersionWindow{6, 8});
}

TEST_CASE("Bytes of another instance that are no text end no process when they are sent to a server", "[daemon][backend][boundary]")
{
    SubRequest request = searchRequest();
    request.kind = SubRequestKind::Command;
    request.command = CommandName("\xff");
    request.key = "1764900000-\xc3";
    request.text = "\xfe";
    CHECK_NOTHROW(encodeBackendRequest(request, Address{"127.0.0.1", 1}, std::chrono::seconds(1)));
    request = searchRequest();
    request.text = "\xfe";
    CHECK_NOTHROW(encodeBackendRequest(request, Address{"127.0.0.1", 1}, std::chrono::seconds(1)));
}

TEST_CASE("Only a refusal that is marked as not run gets the verdict NotRun", "[daemon][backend][verdict]")
{
    struct Row
    {
        int status;
        std::map<std::string, std::string> headers;
        std::string body;
        Errc code;
        Verdict verdict;
    };
    const std::string moved = R"({"error":"wrongShard","versions":{"parts":{"oldest":9,"newest":9}}})";
    const std::vector<Row> rows{
        {409, {}, R"({"error":"wrongVersion"})", Errc::WrongVersion, Verdict::NotRun},
        {409, {}, moved, Errc::WrongShard, Verdict::NotRun},
        {409, {}, "no json", Errc::ConnectionLost, Verdict::MayHaveRun},
        {429, {{"x-not-run", "1"}}, "", Errc::Overloaded, Verdict::NotRun},
        {429, {}, "", Errc::Internal, Verdict::MayHaveRun},
        {503, {{"x-not-run", "1"}, {"x-draining", "1"}}, "", Errc::Draining, Verdict::NotRun},
        {503, {}, "", Errc::Internal, Verdict::MayHaveRun},
        {504, {{"x-not-run", "1"}}, "", Errc::DeadlineExceeded, Verdict::NotRun},
        {504, {}, "", Errc::Internal, Verdict::MayHaveRun},
        {500, {{"x-not-run", "1"}}, "", Errc::Internal, Verdict::MayHaveRun},
        {200, {}, "", Errc::ConnectionLost, Verdict::MayHaveRun},
        {200, {}, GoodBody.substr(0, 60), Errc::ConnectionLost, Verdict::MayHaveRun},
        {200, {}, R"({"requestId":"a/1/41","index":"parts"})", Errc::ConnectionLost, Verdict::MayHaveRun},
        {200, {}, R"({"requestId":"a/1/42","index":"parts","version":"seven"})", Errc::ConnectionLost, Verdict::MayHaveRun},
        {302, {}, "", Errc::Internal, Verdict::MayHaveRun},
    };
    for (const Row &row : rows) {
        const BackendReply reply = decodeBackendResponse(searchRequest(), HttpResponse{row.status, row.headers, row.body});
        INFO(row.status << " " << row.body);
        CHECK(reply.reply.code == row.code);
        CHECK(reply.reply.verdict == row.verdict);
        CHECK(reply.reply.id == searchRequest().id);
    }
}
