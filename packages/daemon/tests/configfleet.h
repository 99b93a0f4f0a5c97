#pragma once

#include "../../declarations/tests/memorystore.h"

#include <burdock/daemon/configdistributor.h>
#include <burdock/declarations/publisher.h>
#include <burdock/policy/configwatchers.h>
#include <burdock/values/manualruntime.h>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>

namespace Burdock
{

/// The runtime of one instance, which can be frozen while those of the others continue.
class FreezableRuntime final : public Runtime
{
public:
    explicit FreezableRuntime(ManualRuntime &shared)
        : shared_(shared)
    {
    }
    TimePoint now() const override
    {
        return shared_.now();
    }
    WallTime wallNow() const override
    {
        return shared_.wallNow();
    }
    TimerId schedule(Duration delay, std::function<void()> callback) override
    {
        return shared_.schedule(delay, [this, callback] { run(callback); });
    }
    void cancel(TimerId timer) override
    {
        shared_.cancel(timer);
    }
    /// Runs the callback now, or in thaw() if the runtime is frozen.
    void run(const std::function<void()> &callback)
    {
        if (frozen_) {
            waiting_.push_back(callback);
        } else {
            callback();
        }
    }
    void freeze()
    {
        frozen_ = true;
    }
    void thaw()
    {
        frozen_ = false;
        const auto waiting = std::move(waiting_);
        waiting_.clear();
        for (const auto &callback : waiting) {
            callback();
        }
    }
    bool frozen() const
    {
        return frozen_;
    }

private:
    ManualRuntime &shared_;
    bool frozen_ = false;
    std::vector<std::function<void()>> waiting_;
};

/// The connection of one instance to the store, which can be disconnected.
class CuttableStore final : public Store
{
public:
    CuttableStore(FreezableRuntime &runtime, MemoryStore &store)
        : runtime_(runtime)
        , store_(store)
    {
    }
    bool disconnected = false;
    /// Watches stay open but deliver no events.
    bool watchesSilent = false;

    void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) override
    {
        if (disconnected) {
            return fail(done);
        }
        store_.range(key, prefix, limit, onRuntime(done));
    }
    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override
    {
        if (disconnected) {
            return fail(done);
        }
        store_.commit(std::move(transaction), onRuntime(done));
    }
    void grantLease(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done);
    }
    void keepLeaseAlive(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done);
    }
    void revokeLease(std::int64_t, Callback<std::int64_t> done) override
    {
        fail(done);
    }
    std::uint64_t watch(const std::string &key,
                        bool prefix,
                        std::int64_t fromRevision,
                        std::function<void(const StoreEntry &)> changed,
                        std::function<void(const Failure &)> ended) override
    {
        return store_.watch(
            key,
            prefix,
            fromRevision,
            [this, changed](const StoreEntry &entry) {
                if (!disconnected && !watchesSilent) {
                    runtime_.run([changed, entry] { changed(entry); });
                }
            },
            [this, ended](const Failure &failure) { runtime_.run([ended, failure] { ended(failure); }); });
    }
    void unwatch(std::uint64_t watch) override
    {
        store_.unwatch(watch);
    }

private:
    template<class T>
    Callback<T> onRuntime(const Callback<T> &done)
    {
        return [this, done](Result<T> result) { runtime_.run([done, result] { done(result); }); };
    }
    template<class T>
    void fail(const Callback<T> &done)
    {
        runtime_.schedule(MemoryStore::Timeout, [done] { done(notRun(Errc::Unavailable, "cut off")); });
    }

    FreezableRuntime &runtime_;
    MemoryStore &store_;
};

class ConfigFleet;

/// The links of one instance, whose messages the fleet delivers.
class FleetLinks final : public PeerLinks
{
public:
    FleetLinks(ConfigFleet &fleet, std::size_t self)
        : fleet_(fleet)
        , self_(self)
    {
    }
    Result<Address> listen(const Address &address) override
    {
        return address;
    }
    void setHandlers(MessageHandler, LostHandler) override
    {
    }
    void setPeer(const InstanceId &, const Address &) override
    {
    }
    void removePeer(const InstanceId &) override
    {
    }
    bool send(const InstanceId &peer, PeerMessage message) override;
    std::uint32_t openLinks() const override
    {
        return 0;
    }
    const PeerLinkCounters &counters() const override
    {
        return counters_;
    }

private:
    ConfigFleet &fleet_;
    std::size_t self_;
    PeerLinkCounters counters_;
};

/// Several instances that distribute configurations on one manual clock. Their store connections, links and probes can be
/// disconnected, and each instance can be frozen.
class ConfigFleet
{
public:
    static constexpr Duration ProbePeriod = std::chrono::milliseconds(500);
    static constexpr Duration LinkLatency = std::chrono::milliseconds(12);

    struct Node
    {
        FreezableRuntime runtime;
        CuttableStore store;
        FleetLinks links;
        ListedInstance listed;
        std::set<std::size_t> disconnectedPeers;
        std::unique_ptr<ConfigDistributor> distributor;
        std::uint64_t highestInForce = 0;
        bool reverted = false;

        Node(ConfigFleet &fleet, std::size_t place)
            : runtime(fleet.runtime)
            , store(runtime, fleet.store)
            , links(fleet, place)
        {
        }
    };

    ManualRuntime runtime;
    MemoryStore store{runtime};
    ConfigSettings settings;
    std::vector<std::unique_ptr<Node>> nodes;
    std::mt19937 random;
    /// Which instances watch the store. All and None are for comparison.
    enum class Watchers { Few, All, None };
    Watchers watchers = Watchers::Few;
    /// Whether probes carry configuration versions. False is for comparison.
    bool probesCarryVersions = true;

    ConfigFleet(std::size_t count, std::size_t dataCentres, unsigned seed)
        : random(seed)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<Node>(*this, i));
            const Place place{Region("r"), DataCentre("dc" + std::to_string(i % dataCentres))};
            nodes[i]->listed = {InstanceId("i" + std::to_string(i)), place, {}, {}, false};
        }
    }

    /// Starts an instance, or restarts it without any state.
    void start(std::size_t i)
    {
        Node &node = *nodes[i];
        node.distributor.reset();
        ConfigPeerView neighbours{[this, i] { return others(i); }, [this, i] { return watches(i); }};
        node.distributor = std::make_unique<ConfigDistributor>(
            node.runtime, node.store, node.links, settings, std::move(neighbours), random(), [this, i](const ConfigurationPtr &configuration) {
                nodes[i]->reverted = nodes[i]->reverted || configuration->version <= nodes[i]->highestInForce;
                nodes[i]->highestInForce = configuration->version;
            });
        node.highestInForce = 0;
        node.distributor->start();
    }

    void startAll()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            start(i);
        }
        runtime.schedule(ProbePeriod, [this] { probe(); });
        runtime.advance(std::chrono::seconds(2));
    }

    ConfigKeeper &keeper(std::size_t i)
    {
        return nodes[i]->distributor->keeper();
    }

    static DeclarationSet files(std::uint32_t slots)
    {
        return DeclarationSet(
            {{"fleet.toml",
              DeclarationFile("[fleet.a]\nslots = \"" + std::to_string(slots) + " slots\"\nconnections = \"40 connections\"\nconnection-cost = \"6ms\"\n")}});
    }

    /// Publishes a version based on the previous one and waits until the store has accepted it. Throws if it is not accepted within
    /// 20000 ms.
    void publish(std::uint64_t version)
    {
        Publisher publisher(runtime, store, std::chrono::seconds(5));
        bool accepted = false;
        publisher.publish({files(static_cast<std::uint32_t>(version + 1)), version - 1, "p" + std::to_string(version), "who", "why"},
                          [&](const Result<PublishReport> &report) { accepted = report && report->outcome == PublishOutcome::Accepted; });
        for (int i = 0; i < 20000 && !accepted; ++i) {
            runtime.advance(std::chrono::milliseconds(1));
        }
        if (!accepted) {
            throw std::runtime_error("not accepted");
        }
    }

    /// Writes a head and its files without the publisher's checks, as a newer or faulty publisher may do.
    void writeUnchecked(std::uint64_t version, const DeclarationSet &set, const std::string &headText = {})
    {
        StoreTransaction write;
        const ConfigHead head{version, "planted", set.hash(), set.hashes()};
        write.writes.push_back({ConfigHeadKey, headText.empty() ? head.toJson() : headText, 0});
        for (const auto &[name, file] : set.files()) {
            write.writes.push_back({configFileKey(name, file.hash()), file.text(), 0});
        }
        store.commit(write, [](const Result<StoreCommit> &) {});
        runtime.advance(std::chrono::milliseconds(5));
    }

    bool allHave(std::uint64_t version)
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto &node) { return node->distributor->keeper().version() == version; });
    }

    /// Advances the clock until the condition holds or the limit is reached, and returns the time that took.
    Duration timeUntil(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint began = runtime.now();
        while (!condition() && runtime.now() - began < limit) {
            runtime.advance(std::chrono::milliseconds(5));
        }
        return runtime.now() - began;
    }

    void deliverMessage(std::size_t from, const InstanceId &peer, const PeerMessage &message)
    {
        const auto to = static_cast<std::size_t>(std::stoul(peer.text().substr(1)));
        deliver(from, to, [this, from, to, message] {
            if (const auto *fetch = std::get_if<ConfigFetch>(&message)) {
                nodes[to]->distributor->onFetch(nodes[from]->listed.id, *fetch);
            } else if (const auto *offer = std::get_if<ConfigOffer>(&message)) {
                nodes[to]->distributor->onOffer(nodes[from]->listed.id, *offer);
            }
        });
    }

private:
    std::vector<InstanceId> others(std::size_t self) const
    {
        std::vector<InstanceId> ids;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (i != self) {
                ids.push_back(nodes[i]->listed.id);
            }
        }
        return ids;
    }

    std::vector<ListedInstance> listed() const
    {
        std::vector<ListedInstance> all;
        for (const auto &node : nodes) {
            all.push_back(node->listed);
        }
        return all;
    }

    bool watches(std::size_t self) const
    {
        return watchers == Watchers::All || (watchers == Watchers::Few && isConfigWatcher(nodes[self]->listed, listed()));
    }

    void deliver(std::size_t from, std::size_t to, const std::function<void()> &arrive)
    {
        if (nodes[from]->disconnectedPeers.count(to) != 0 || nodes[to]->disconnectedPeers.count(from) != 0) {
            return;
        }
        runtime.schedule(LinkLatency, [this, to, arrive] { nodes[to]->runtime.run(arrive); });
    }

    /// Lets each instance probe one other, which answers. Both messages carry the sender's version.
    void probe()
    {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const std::size_t to = (i + 1 + random() % std::max<std::size_t>(nodes.size() - 1, 1)) % nodes.size();
            if (to != i && !nodes[i]->runtime.frozen()) {
                sendVersion(i, to, [this, i, to] { sendVersion(to, i, [] {}); });
            }
        }
        runtime.schedule(ProbePeriod, [this] { probe(); });
    }

    void sendVersion(std::size_t from, std::size_t to, const std::function<void()> &then)
    {
        const std::uint64_t version = probesCarryVersions ? keeper(from).version() : 0;
        deliver(from, to, [this, from, to, version, then] {
            keeper(to).onPeerVersion(nodes[from]->listed.id, version);
            then();
        });
    }
};

inline bool FleetLinks::send(const InstanceId &peer, PeerMessage message)
{
    fleet_.deliverMessage(self_, peer, message);
    return true;
}

} // namespace Burdock
