#pragma once

#include <burdock/wire/peermessage.h>

namespace Burdock::Bench
{

/// A typical sub-request that an entry sends for a query.
inline SubRequest exampleSubRequest()
{
    SubRequest request;
    request.id = {InstanceId("capital-1-entry-017"), 3, 1234567};
    request.caller = CallerId("technician-app");
    request.rank = Rank::Urgent;
    request.fleet = FleetName("parts-desk");
    request.server = ServerId("parts-07-b");
    request.budget = std::chrono::milliseconds(80);
    request.snapshot = {IndexName("parts"), 41, 7};
    request.shard = ShardId("parts-s23");
    request.range = {1932735283, 2040109466};
    request.text = "drive belt 1200x25 filter press";
    request.limit = 20;
    return request;
}

/// The reply to exampleSubRequest(), with 12 hits of 60 bytes each.
inline SubReply exampleSubReply()
{
    constexpr int Hits = 12;
    SubReply reply;
    reply.id = exampleSubRequest().id;
    reply.snapshot = exampleSubRequest().snapshot;
    reply.shard = exampleSubRequest().shard;
    reply.range = exampleSubRequest().range;
    reply.total = 345;
    for (int hit = 0; hit < Hits; ++hit) {
        reply.hits.push_back({"doc-" + std::to_string(100000 + hit), 9.5 - hit * 0.37, std::string(60, 'b')});
    }
    reply.report.server = exampleSubRequest().server;
    reply.report.queueDelay = {Duration(120), Duration(900), Duration(20000)};
    reply.report.versions = {{IndexName("parts"), {39, 41}}};
    return reply;
}

} // namespace Burdock::Bench
