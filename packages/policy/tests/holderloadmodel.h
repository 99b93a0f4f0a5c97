#pragma once

#include "holderbackend.h"

#include <burdock/policy/admission.h>
#include <burdock/policy/budgetedtactics.h>
#include <burdock/policy/holder.h>
#include <burdock/policy/querycoordinator.h>
#include <burdock/values/manualruntime.h>

#include <memory>
#include <random>

namespace Burdock
{

/// Size and parameters of a LoadModel.
struct LoadModelSettings
{
    std::uint64_t seed = 1;
    std::size_t shards = 51;
    std::size_t replicas = 3;
    std::size_t entries = 7;
    std::uint32_t slots = 5;
    Duration service = std::chrono::milliseconds(10);
    double stragglerFraction = 0;
    int stragglerFactor = 20;
    PerRank<double> floors{0.5, 0.2, 0.1};
    PerRank<Duration> longestWait{std::chrono::milliseconds(200), std::chrono::milliseconds(1000), std::chrono::seconds(5)};
    PerRank<double> leastCoverage{0.5, 1, 1};
    PerRank<bool> partialAllowed{true, false, false};
    /// If false, each entry connects to every server itself, with an equal share of the slots, but at least one.
    bool holders = true;
    Duration linkDelay = std::chrono::microseconds(500);
    TacticsSettings tactics;
};

/// The outcome of one query of a LoadModel.
struct LoadModelResult
{
    Rank rank = Rank::Batch;
    TimePoint at{};
    Duration took{0};
    bool answered = false;
    double coverage = 0;
};

/// Entries, holders and backend servers on a manual clock: production policies with simulated service times.
///
/// Each shard has its own group of replicas. Callers are named by rank and may query the index "parts".
class LoadModel
{
public:
    explicit LoadModel(const LoadModelSettings &settings)
        : settings_(settings)
        , random_(settings.seed)
    {
        configuration_ = makeConfiguration();
        backend.recordDispatches = false;
        backend.serviceOf = [this](const SubRequest &request) { return drawService(request); };
        backend.onStart = [this](const SubRequest &request) { recordStart(request); };
        const std::size_t holders = settings.holders ? 1 : settings.entries;
        for (std::size_t i = 0; i < holders; ++i) {
            holders_.push_back(std::make_unique<Holder>(runtime, backend));
            holders_.back()->configure(configuration_);
        }
        for (std::size_t i = 0; i < settings.entries; ++i) {
            entries_.push_back(std::make_unique<Entry>(*this, *holders_[settings.holders ? 0 : i], i));
        }
        for (std::size_t i = 0; i < holders; ++i) {
            holders_[i]->onReport([this, i](const ServerReport &report) { publish(i, report); });
        }
    }

    /// Sends queries of a rank at a rate per second for the given duration from now on, regardless of their outcome.
    void arrive(Rank rank, double perSecond, Duration span)
    {
        scheduleNext(rank, perSecond, runtime.now() + span);
    }

    /// Returns how many queries per second the slots can serve.
    double capacity() const
    {
        const double perSecond = 1e6 / static_cast<double>(settings_.service.count());
        return static_cast<double>(settings_.replicas) * settings_.slots * perSecond;
    }

    /// Returns all servers: the first replica of each shard, then the second ones, and so on.
    std::vector<ServerId> servers() const
    {
        std::vector<ServerId> all;
        for (std::size_t replica = 0; replica < settings_.replicas; ++replica) {
            for (std::size_t shard = 0; shard < settings_.shards; ++shard) {
                all.push_back(serverOf(shard, replica));
            }
        }
        return all;
    }

    QueryCounters counters() const
    {
        QueryCounters sum;
        for (const auto &entry : entries_) {
            sum.subRequests += entry->counters.subRequests;
            sum.hedges += entry->counters.hedges;
            sum.retries += entry->counters.retries;
        }
        return sum;
    }

    ManualRuntime runtime;
    ModelBackend backend{runtime};
    std::vector<LoadModelResult> results;
    /// How long requests waited after the same server had started a less urgent one, by rank of the waiting request.
    PerRank<std::vector<Duration>> inversions;
    /// Number of requests started by servers, by rank.
    PerRank<std::uint64_t> startedByRank{};

private:
    /// When each waiting request was first overtaken by a less urgent one, by rank; the zero time if it was not.
    using Waiting = PerRank<std::map<SubRequestId, TimePoint>>;

    /// One entry instance with its query handling and tactics, linked to a holder.
    class Entry final : public SubRequestPort
    {
    public:
        Entry(LoadModel &model, Holder &holder, std::size_t number)
            : tactics(model.runtime, model.settings_.seed * 1000 + number, model.settings_.tactics)
            , admission(model.runtime, model.settings_.seed * 1000 + number)
            , ids(InstanceId("entry-" + std::to_string(number)), 1)
            , model_(model)
            , holder_(holder)
            , desk_(
                  QueryContext{model.runtime, *this, tactics, tracker, ids, counters, {}}, [&model] { return model.configuration_; }, admission)
        {
            for (const ServerId &server : model.servers()) {
                ServerReport report;
                report.server = server;
                report.versions = {{IndexName("parts"), VersionWindow{1, 1}}};
                tracker.update(report);
            }
        }

        void send(const SubRequest &request, Callback done) override
        {
            model_.waiting_[request.server][rankIndex(request.rank)][request.id] = TimePoint{};
            places_[request.id] = {request.server, request.rank};
            pending_[request.id] = model_.runtime.schedule(delay(), [this, request, done = std::move(done)] {
                pending_.erase(request.id);
                SubRequest sent = request;
                sent.budget -= delay();
                holder_.submit(sent, [this, done](const SubReply &reply) { replied(reply, done); });
            });
        }

        void cancel(const SubRequestId &id) override
        {
            const auto sending = pending_.find(id);
            if (sending != pending_.end()) {
                model_.runtime.cancel(sending->second);
                pending_.erase(sending);
            }
            holder_.cancel(id);
            forget(id);
        }

        BudgetedTactics tactics;
        Admission admission;
        SnapshotTracker tracker;
        SubRequestIdGenerator ids;
        QueryCounters counters;

        QueryCoordinator &desk()
        {
            return desk_;
        }

    private:
        Duration delay() const
        {
            return model_.settings_.holders ? model_.settings_.linkDelay : Duration{0};
        }

        void replied(const SubReply &reply, const Callback &done)
        {
            forget(reply.id);
            pending_[reply.id] = model_.runtime.schedule(delay(), [this, reply, done] {
                pending_.erase(reply.id);
                done(reply);
            });
        }

        void forget(const SubRequestId &id)
        {
            const auto place = places_.find(id);
            if (place != places_.end()) {
                model_.waiting_[place->second.first][rankIndex(place->second.second)].erase(id);
                places_.erase(place);
            }
        }

        LoadModel &model_;
        Holder &holder_;
        std::map<SubRequestId, TimerId> pending_;
        std::map<SubRequestId, std::pair<ServerId, Rank>> places_;
        /// Declared last so that it is destroyed first: its queries cancel their pending requests.
        QueryCoordinator desk_;
    };

    /// Delivers a report to the entries of a holder.
    void publish(std::size_t holder, const ServerReport &report)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            if (settings_.holders || i == holder) {
                entries_[i]->tactics.onServerReport(report);
                entries_[i]->admission.onServerReport(report);
            }
        }
    }

    static ServerId serverOf(std::size_t shard, std::size_t replica)
    {
        return ServerId("s" + std::to_string(shard) + "-" + std::to_string(replica));
    }

    static CallerId callerOf(Rank rank)
    {
        return CallerId(std::string(rankName(rank)));
    }

    ConfigurationPtr makeConfiguration() const
    {
        const auto entries = static_cast<std::uint32_t>(settings_.holders ? 1 : settings_.entries);
        auto configuration = std::make_shared<Configuration>();
        configuration->version = 1;
        const std::uint32_t share = std::max<std::uint32_t>(settings_.slots / entries, 1);
        configuration->fleets[FleetName("desk")] = FleetDeclaration{FleetName("desk"), share, 40, std::chrono::milliseconds(6), settings_.floors};
        IndexDeclaration index{IndexName("parts"), FleetName("desk"), ShardMap{1, {}}, {}};
        for (std::size_t shard = 0; shard < settings_.shards; ++shard) {
            Shard declared{ShardId("shard-" + std::to_string(shard)), {KeySpace * shard / settings_.shards, KeySpace * (shard + 1) / settings_.shards}, {}};
            for (std::size_t replica = 0; replica < settings_.replicas; ++replica) {
                declared.replicas.push_back(serverOf(shard, replica));
            }
            index.map.shards.push_back(declared);
        }
        for (const Rank rank : AllRanks) {
            const std::size_t i = rankIndex(rank);
            index.callers[callerOf(rank)] =
                CallerRule{callerOf(rank), rank, settings_.longestWait[i], settings_.leastCoverage[i], settings_.partialAllowed[i], 1};
        }
        configuration->indexes[index.name] = index;
        return configuration;
    }

    void scheduleNext(Rank rank, double perSecond, TimePoint end)
    {
        const double seconds = std::exponential_distribution<>(perSecond)(random_);
        const Duration wait(static_cast<Duration::rep>(seconds * 1e6));
        if (runtime.now() + wait >= end) {
            return;
        }
        runtime.schedule(wait, [this, rank, perSecond, end] {
            submitQuery(rank);
            scheduleNext(rank, perSecond, end);
        });
    }

    void submitQuery(Rank rank)
    {
        const std::size_t number = std::uniform_int_distribution<std::size_t>(0, entries_.size() - 1)(random_);
        const std::size_t place = results.size();
        results.push_back({rank, runtime.now()});
        entries_[number]->desk().submit(Query{callerOf(rank), IndexName("parts"), "belt", 20, {}}, [this, place](const Result<QueryAnswer> &answer) {
            LoadModelResult &result = results[place];
            result.took = runtime.now() - result.at;
            result.answered = answer.has_value();
            result.coverage = answer ? answer->coverage.fraction() : 0;
        });
    }

    Duration drawService(const SubRequest &request)
    {
        const double mean = static_cast<double>(backend.servers[request.server].service.count());
        const double variation = std::uniform_real_distribution<>(0.8, 1.2)(random_);
        const bool isStraggler = std::bernoulli_distribution(settings_.stragglerFraction)(random_);
        return Duration(static_cast<Duration::rep>(mean * variation * (isStraggler ? settings_.stragglerFactor : 1)));
    }

    /// Records which waiting requests this one has overtaken, and how long it was overtaken itself.
    void recordStart(const SubRequest &request)
    {
        ++startedByRank[rankIndex(request.rank)];
        Waiting &waiting = waiting_[request.server];
        const auto own = waiting[rankIndex(request.rank)].extract(request.id);
        if (own && own.mapped() != TimePoint{}) {
            inversions[rankIndex(request.rank)].push_back(runtime.now() - own.mapped());
        }
        for (std::size_t place = 0; place < rankIndex(request.rank); ++place) {
            for (auto &[id, overtakenAt] : waiting[place]) {
                overtakenAt = overtakenAt == TimePoint{} ? runtime.now() : overtakenAt;
            }
        }
    }

    LoadModelSettings settings_;
    std::mt19937_64 random_;
    ConfigurationPtr configuration_;
    std::map<ServerId, Waiting> waiting_;
    std::vector<std::unique_ptr<Holder>> holders_;
    std::vector<std::unique_ptr<Entry>> entries_;
};

} // namespace Burdock
