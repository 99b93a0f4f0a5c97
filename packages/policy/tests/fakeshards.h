#pragma once

#include <burdock/policy/query.h>
#include <burdock/policy/querytactics.h>
#include <burdock/policy/subrequestport.h>
#include <burdock/values/configuration.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <map>
#include <set>

namespace Burdock
{

/// The fault that a fake server injects into its replies.
enum class ShardFault {
    None,
    Silent,
    Lost,
    Shed,
    Short,
    Unsorted,
    Doubled,
    OtherShard,
    OtherVersion,
    WrongTotal,
};

/// A SubRequestPort with simulated shards that can compute the exact answer at every version.
class FakeShards final : public SubRequestPort
{
public:
    struct Server
    {
        VersionWindow window{1, 1};
        Duration latency = std::chrono::milliseconds(2);
        ShardFault fault = ShardFault::None;
        std::uint64_t mapGeneration = 1;
        int requests = 0;
    };

    FakeShards(ManualRuntime &runtime, std::size_t documents)
        : runtime_(runtime)
    {
        for (std::size_t number = 0; number < documents; ++number) {
            documents_.push_back(std::hash<std::string>()("key" + std::to_string(number)) % KeySpace);
        }
    }

    Server &server(const std::string &name)
    {
        return servers_[ServerId(name)];
    }

    std::map<ServerId, Server> &servers()
    {
        return servers_;
    }

    /// The content of a document in a version; one seventh of the documents is absent from each version.
    static std::optional<Hit> documentAt(std::size_t number, std::uint64_t version)
    {
        const std::size_t mix = std::hash<std::string>()(std::to_string(number) + "@" + std::to_string(version));
        if (mix % 7 == 0) {
            return std::nullopt;
        }
        return Hit{"d" + std::to_string(number), static_cast<double>(mix % 1000), "v" + std::to_string(version)};
    }

    /// All documents of the key ranges, sorted by rank.
    std::vector<Hit> documentsIn(const std::vector<KeyRange> &ranges, std::uint64_t version) const
    {
        std::vector<Hit> hits;
        for (std::size_t number = 0; number < documents_.size(); ++number) {
            const std::uint64_t key = documents_[number];
            const bool inside = std::any_of(ranges.begin(), ranges.end(), [key](const KeyRange &range) { return range.begin <= key && key < range.end; });
            const auto hit = documentAt(number, version);
            if (inside && hit) {
                hits.push_back(*hit);
            }
        }
        std::sort(hits.begin(), hits.end(), ranksBefore);
        return hits;
    }

    void send(const SubRequest &request, Callback done) override
    {
        Server &server = servers_[request.server];
        ++server.requests;
        ++sent;
        open_.insert(request.id);
        if (server.fault == ShardFault::Silent) {
            return;
        }
        runtime_.schedule(server.latency, [this, request, done = std::move(done)] {
            if (open_.erase(request.id) > 0) {
                done(answer(request));
            }
        });
    }

    void cancel(const SubRequestId &id) override
    {
        cancelled += static_cast<int>(open_.erase(id));
    }

    int sent = 0;
    int cancelled = 0;

private:
    static SubReply refusal(const SubRequest &request, Errc code, Verdict verdict)
    {
        SubReply reply;
        reply.id = request.id;
        reply.code = code;
        reply.verdict = verdict;
        return reply;
    }

    SubReply answer(const SubRequest &request)
    {
        const Server &server = servers_[request.server];
        SubReply reply = correctAnswer(request, server);
        reply.report.server = request.server;
        reply.report.versions = {{request.snapshot.index, server.window}};
        if (reply.code == Errc::Ok) {
            applyFault(reply, server.fault);
        }
        return reply;
    }

    SubReply correctAnswer(const SubRequest &request, const Server &server)
    {
        if (server.fault == ShardFault::Lost) {
            return refusal(request, Errc::ConnectionLost, Verdict::MayHaveRun);
        }
        if (server.fault == ShardFault::Shed) {
            return refusal(request, Errc::Overloaded, Verdict::NotRun);
        }
        if (!server.window.holds(request.snapshot.version)) {
            return refusal(request, Errc::WrongVersion, Verdict::NotRun);
        }
        if (server.mapGeneration != request.snapshot.mapGeneration) {
            return refusal(request, Errc::WrongShard, Verdict::NotRun);
        }
        SubReply reply;
        reply.id = request.id;
        reply.snapshot = request.snapshot;
        reply.shard = request.shard;
        reply.range = request.range;
        const std::vector<Hit> all = documentsIn({request.range}, request.snapshot.version);
        reply.total = all.size();
        const std::size_t first = std::min<std::size_t>(request.offset, all.size());
        const std::size_t last = std::min<std::size_t>(first + request.limit, all.size());
        reply.hits.assign(all.begin() + static_cast<std::ptrdiff_t>(first), all.begin() + static_cast<std::ptrdiff_t>(last));
        return reply;
    }

    static void applyFault(SubReply &reply, ShardFault fault)
    {
        if (fault == ShardFault::OtherShard) {
            reply.shard = ShardId("other");
        } else if (fault == ShardFault::OtherVersion) {
            ++reply.snapshot.version;
        } else if (fault == ShardFault::WrongTotal) {
            reply.total += 5;
        } else if (fault == ShardFault::Short && !reply.hits.empty()) {
            reply.hits.pop_back();
        } else if (fault == ShardFault::Unsorted && reply.hits.size() > 1) {
            std::reverse(reply.hits.begin(), reply.hits.end());
        } else if (fault == ShardFault::Doubled && reply.hits.size() > 1) {
            reply.hits.back() = reply.hits.front();
        }
    }

    ManualRuntime &runtime_;
    std::vector<std::uint64_t> documents_;
    std::map<ServerId, Server> servers_;
    std::set<SubRequestId> open_;
};

/// Chooses the first untried replica; hedges and retries are allowed unless a test disables them.
class FirstReplicaTactics final : public QueryTactics
{
public:
    std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank, const std::vector<ServerId> &tried) override
    {
        for (const ServerId &server : replicas) {
            if (std::find(tried.begin(), tried.end(), server) == tried.end()) {
                return server;
            }
        }
        return std::nullopt;
    }

    std::optional<Duration> hedgeDelay(const ServerId &, Rank) override
    {
        return hedgeAfter;
    }

    void onFirstAttempt() override
    {
    }

    bool tryAcquireHedge() override
    {
        return hedges;
    }

    bool tryAcquireRetry() override
    {
        return retries;
    }

    void onAttemptFinished(const ServerId &, Rank, Errc, Duration) override
    {
    }

    void onServerReport(const ServerReport &) override
    {
    }

    std::optional<Duration> hedgeAfter = std::chrono::milliseconds(20);
    bool hedges = true;
    bool retries = true;
};

} // namespace Burdock
