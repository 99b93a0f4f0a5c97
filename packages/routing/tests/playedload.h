#pragma once

#include <burdock/routing/serverchoice.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Burdock
{

/// Requests that cost about the same work.
struct PlayedKind
{
    std::string workspace;
    double perSecond = 0;
    Duration work{0};
};

/// One instance's decisions.
class PlayedInstance
{
public:
    virtual ~PlayedInstance() = default;
    virtual std::size_t place(const PlayedKind &kind, TimePoint now) = 0;
    virtual void onAnswered(std::size_t server, const PlayedKind &kind, TimePoint sentAt, TimePoint now) = 0;
};

/// An instance that chooses as the product does, by cost or as without it.
class ChoosingInstance final : public PlayedInstance
{
public:
    ChoosingInstance(std::size_t serverCount, std::uint32_t slots, bool byCost, std::size_t instances, std::uint64_t seed)
        : choice_(table_, latencies_, load_, limits_, cold_, notices_, emptied_, {{DataCentre("a"), Region("home")}}, Region("home"), seed)
    {
        for (std::size_t number = 0; number < serverCount; ++number) {
            const auto port = static_cast<std::uint16_t>(number + 1);
            table_.put(
                {ServerId("s" + std::to_string(number)), ServiceName("parts"), Address{"10.0.0.1", port}, DataCentre("a"), false, slots, Duration{0}, 1});
        }
        RoutingConfig config;
        config.services = {{ServiceName("parts"), 10000}};
        config.workspaces.resize(byCost ? 2 : 0);
        choice_.setServices(config.services);
        choice_.placing().setConfig(config);
        choice_.setInstances(instances);
        route_.name = "parts";
        route_.target = std::chrono::milliseconds(200);
    }

    std::size_t place(const PlayedKind &kind, TimePoint now) override
    {
        return placeAmong(kind, now, {});
    }

    /// Chooses without the excluded servers.
    std::size_t placeAmong(const PlayedKind &kind, TimePoint now, const std::vector<ServerId> &excluded)
    {
        const auto cost = costOf(kind, now);
        const ServerHandle server = choice_.choose(route_, ServiceName("parts"), excluded, now, cost ? &*cost : nullptr).server;
        behindLong_ += cost && isBehindLong(*server, now) ? 1 : 0;
        choice_.onSent(route_, *server, now, false, cost ? &*cost : nullptr);
        return static_cast<std::size_t>(server->address.port - 1);
    }

    void onAnswered(std::size_t server, const PlayedKind &kind, TimePoint sentAt, TimePoint now) override
    {
        const auto cost = costOf(kind, sentAt);
        choice_.onAnswered(route_, *handle(server), sentAt, now, cost ? &*cost : nullptr);
    }

    std::optional<RequestCost> costOf(const PlayedKind &kind, TimePoint now)
    {
        return choice_.placing().costOf(route_, ServiceName("parts"), 0, kind.workspace, now);
    }

    ServerHandle handle(std::size_t server) const
    {
        const auto &servers = table_.servers(ServiceName("parts"));
        return *std::find_if(servers.begin(), servers.end(), [server](const ServerHandle &each) { return each->address.port == server + 1; });
    }

    /// The number of requests that were sent where they were expected to wait for long while another of a like
    /// pace had a free slot and no overdue request.
    std::size_t behindLong() const
    {
        return behindLong_;
    }

private:
    static constexpr Duration LongWait = std::chrono::milliseconds(75);
    static constexpr double LikePace = 1.2;

    bool isBehindLong(const ServerEntry &chosen, TimePoint now)
    {
        const CostPlacing &placing = choice_.placing();
        const auto isFree = [&](const ServerHandle &server) {
            return load_.inFlight(server->id) < server->slots && placing.work().pace(server->id, now) < LikePace * placing.work().pace(chosen.id, now)
                && placing.overdue(*server, now) == Duration{0};
        };
        const auto &servers = table_.servers(ServiceName("parts"));
        return placing.open(chosen, Duration{0}, now).wait > LongWait && std::any_of(servers.begin(), servers.end(), isFree);
    }

    std::size_t behindLong_ = 0;
    LatencyTracker latencies_;
    ServerLoad load_;
    ServerLimits limits_{InstanceId("self"), [](const LimitReport &) {}};
    ColdServers cold_{InstanceId("self"), LimitTerms::within(0.5, 5), [](const LimitReport &) {}};
    ServerNotices notices_;
    EmptiedDataCentres emptied_;
    ServerTable table_{[](const ServerEntry &, bool) {}};
    ServerChoice choice_;
    Route route_;
};

/// Servers with slots and a queue, and requests that arrive at random at any of the instances.
class PlayedLoad
{
public:
    struct Server
    {
        std::uint32_t slots = 4;
        /// The multiple of the usual time that work takes, by the time since the start.
        std::function<double(Duration)> pace = [](Duration) { return 1.0; };
        std::deque<std::size_t> waiting{};
        std::uint32_t running = 0;
        Duration busy{0};
    };

    struct Result
    {
        /// The latencies by kind, sorted.
        std::vector<std::vector<Duration>> latencies;
        std::size_t requests = 0;
        /// How long requests waited for a slot that were sent while another server had a free one, sorted.
        std::vector<Duration> waitsBesideFree;
        double busiestOverMean = 0;

        /// Adds the result of another play; the busiest server counts in the worst of them.
        void add(const Result &other)
        {
            latencies.resize(other.latencies.size());
            for (std::size_t kind = 0; kind < latencies.size(); ++kind) {
                addSorted(latencies[kind], other.latencies[kind]);
            }
            addSorted(waitsBesideFree, other.waitsBesideFree);
            requests += other.requests;
            busiestOverMean = std::max(busiestOverMean, other.busiestOverMean);
        }

        static void addSorted(std::vector<Duration> &all, const std::vector<Duration> &more)
        {
            all.insert(all.end(), more.begin(), more.end());
            std::sort(all.begin(), all.end());
        }

        /// The share of all requests that waited for longer than this beside a server with a free slot.
        double shareWaitingBesideFree(Duration longer) const
        {
            const auto from = std::upper_bound(waitsBesideFree.begin(), waitsBesideFree.end(), longer);
            return static_cast<double>(waitsBesideFree.end() - from) / static_cast<double>(requests);
        }

        double shareWithin(std::size_t kind, Duration target) const
        {
            const auto &all = latencies[kind];
            return static_cast<double>(std::upper_bound(all.begin(), all.end(), target) - all.begin()) / static_cast<double>(all.size());
        }

        Duration percentile(std::size_t kind, double share) const
        {
            return latencies[kind][static_cast<std::size_t>(share * static_cast<double>(latencies[kind].size() - 1))];
        }
    };

    PlayedLoad(std::vector<Server> servers, std::vector<PlayedKind> kinds, std::uint64_t seed)
        : servers_(std::move(servers))
        , kinds_(std::move(kinds))
        , random_(seed)
    {
    }

    const std::vector<Server> &servers() const
    {
        return servers_;
    }

    Result play(const std::vector<std::unique_ptr<PlayedInstance>> &instances, Duration length, Duration counted = Duration{0})
    {
        Result result;
        result.latencies.resize(kinds_.size());
        for (std::size_t kind = 0; kind < kinds_.size(); ++kind) {
            scheduleArrival(kind, Duration{0});
        }
        while (!events_.empty()) {
            const Event event = events_.begin()->second;
            now_ = events_.begin()->first;
            events_.erase(events_.begin());
            if (event.request != None) {
                finish(event.request, instances, counted, result);
            } else if (now_ < length) {
                scheduleArrival(event.kind, now_);
                arrive(event.kind, instances, counted, result);
            }
        }
        Duration busiest{0};
        Duration sum{0};
        for (const Server &server : servers_) {
            busiest = std::max(busiest, server.busy);
            sum += server.busy;
        }
        std::sort(result.waitsBesideFree.begin(), result.waitsBesideFree.end());
        result.busiestOverMean = static_cast<double>(busiest.count()) * static_cast<double>(servers_.size()) / static_cast<double>(sum.count());
        for (auto &latencies : result.latencies) {
            std::sort(latencies.begin(), latencies.end());
        }
        return result;
    }

private:
    static constexpr std::size_t None = ~std::size_t{0};
    static constexpr double WorkSpread = 0.35;
    static constexpr double TailShare = 0.01;
    static constexpr double TailFactor = 5;

    struct Event
    {
        std::size_t kind = 0;
        std::size_t request = None;
    };

    struct Request
    {
        std::size_t kind = 0;
        std::size_t instance = 0;
        std::size_t server = 0;
        Duration sentAt{0};
        Duration work{0};
        bool isBesideFree = false;
    };

    static TimePoint timePoint(Duration sinceStart)
    {
        return TimePoint{} + std::chrono::hours(1) + sinceStart;
    }

    void scheduleArrival(std::size_t kind, Duration from)
    {
        const double seconds = std::exponential_distribution<double>(kinds_[kind].perSecond)(random_);
        events_.emplace(from + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)), Event{kind, None});
    }

    void arrive(std::size_t kind, const std::vector<std::unique_ptr<PlayedInstance>> &instances, Duration counted, Result &result)
    {
        const auto instance = std::uniform_int_distribution<std::size_t>(0, instances.size() - 1)(random_);
        const std::size_t chosen = instances[instance]->place(kinds_[kind], timePoint(now_));
        double work = static_cast<double>(kinds_[kind].work.count()) * std::exp(WorkSpread * std::normal_distribution<double>()(random_));
        work *= std::uniform_real_distribution<double>()(random_) < TailShare ? TailFactor : 1;
        requests_.push_back({kind, instance, chosen, now_, Duration(static_cast<Duration::rep>(work)), false});
        Server &server = servers_[chosen];
        const bool isFree = server.running < server.slots;
        const bool otherFree = std::any_of(servers_.begin(), servers_.end(), [](const Server &each) { return each.running < each.slots; });
        result.requests += now_ >= counted ? 1 : 0;
        requests_.back().isBesideFree = now_ >= counted && !isFree && otherFree;
        server.waiting.push_back(requests_.size() - 1);
        startNext(server, result);
    }

    void startNext(Server &server, Result &result)
    {
        while (server.running < server.slots && !server.waiting.empty()) {
            const std::size_t request = server.waiting.front();
            server.waiting.pop_front();
            ++server.running;
            if (requests_[request].isBesideFree) {
                result.waitsBesideFree.push_back(now_ - requests_[request].sentAt);
            }
            const double took = static_cast<double>(requests_[request].work.count()) * server.pace(now_);
            const Duration time(std::max<Duration::rep>(static_cast<Duration::rep>(took), 1));
            server.busy += time;
            events_.emplace(now_ + time, Event{0, request});
        }
    }

    void finish(std::size_t number, const std::vector<std::unique_ptr<PlayedInstance>> &instances, Duration counted, Result &result)
    {
        const Request request = requests_[number];
        --servers_[request.server].running;
        instances[request.instance]->onAnswered(request.server, kinds_[request.kind], timePoint(request.sentAt), timePoint(now_));
        if (request.sentAt >= counted) {
            result.latencies[request.kind].push_back(now_ - request.sentAt);
        }
        startNext(servers_[request.server], result);
    }

    std::vector<Server> servers_;
    const std::vector<PlayedKind> kinds_;
    std::mt19937_64 random_;
    Duration now_{0};
    std::multimap<Duration, Event> events_;
    std::vector<Request> requests_;
};

} // namespace Burdock
