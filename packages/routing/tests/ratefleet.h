#pragma once

#include <burdock/routing/sharedrates.h>
#include <burdock/values/manualruntime.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Burdock
{

/// The loop of one process that can be paused: what falls due meanwhile runs when it goes on.
class PausableRuntime final : public Runtime
{
public:
    explicit PausableRuntime(ManualRuntime &clock)
        : clock_(clock)
    {
    }

    TimePoint now() const override
    {
        return clock_.now();
    }

    WallTime wallNow() const override
    {
        return clock_.wallNow();
    }

    TimerId schedule(Duration delay, std::function<void()> callback) override
    {
        const TimerId id = ++lastId_;
        timers_[id] = clock_.schedule(delay, [this, id, callback = std::move(callback)] {
            if (paused_) {
                due_.emplace_back(id, callback);
                return;
            }
            timers_.erase(id);
            callback();
        });
        return id;
    }

    void cancel(TimerId timer) override
    {
        const auto found = timers_.find(timer);
        if (found != timers_.end()) {
            clock_.cancel(found->second);
            timers_.erase(found);
        }
    }

    void pause()
    {
        paused_ = true;
    }

    void resume()
    {
        paused_ = false;
        for (const auto &[id, callback] : std::exchange(due_, {})) {
            if (timers_.erase(id) > 0) {
                callback();
            }
        }
    }

    bool isPaused() const
    {
        return paused_;
    }

    /// The process ends: nothing that it scheduled is run.
    void stop()
    {
        for (const auto &[id, timer] : std::exchange(timers_, {})) {
            clock_.cancel(timer);
        }
        due_.clear();
    }

private:
    ManualRuntime &clock_;
    TimerId lastId_ = 0;
    bool paused_ = false;
    std::map<TimerId, TimerId> timers_;
    std::vector<std::pair<TimerId, std::function<void()>>> due_;
};

/// Instances that share rates, their network, and the store through which they hear of each other.
class RateFleet
{
public:
    static constexpr Duration Lease = std::chrono::seconds(3);
    static constexpr Duration SendTimeout = std::chrono::milliseconds(500);

    RateFleet(std::uint64_t seed, std::size_t senders, std::size_t standbys, const RateAllowance &allowance)
        : allowance_(allowance)
        , senders_(senders)
        , random_(seed)
        , nodes_(senders + standbys)
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            start(index);
        }
        beat();
    }

    ~RateFleet()
    {
        for (Node &node : nodes_) {
            stopProcess(node);
        }
    }

    RateFleet(const RateFleet &) = delete;
    RateFleet &operator=(const RateFleet &) = delete;

    ManualRuntime clock;
    std::uint64_t messages = 0;
    std::uint64_t wants = 0;

    static InstanceId idOf(std::size_t index)
    {
        return InstanceId("i" + std::to_string(100 + index));
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    /// The process of an instance, or null while there is none or it is paused.
    SharedRates *running(std::size_t index)
    {
        Node &node = nodes_[index];
        return node.rates && !node.runtime->isPaused() ? node.rates.get() : nullptr;
    }

    /// Returns the instance that most others take as the holder: the oldest in the store.
    std::size_t holder() const
    {
        std::size_t oldest = 0;
        for (std::size_t index = 0; index < senders_; ++index) {
            const bool listed = nodes_[index].listedUntil > clock.now();
            oldest = listed && (nodes_[index].born < nodes_[oldest].born || nodes_[oldest].listedUntil <= clock.now()) ? index : oldest;
        }
        return oldest;
    }

    /// Sets the limits, which instances hear of at different times within `spread`.
    void setTerms(const std::map<std::string, RateTerms> &terms, Duration spread)
    {
        terms_ = terms;
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            clock.schedule(upTo(spread), [this, index, terms] {
                if (nodes_[index].rates) {
                    nodes_[index].rates->setTerms(terms);
                }
            });
        }
    }

    void kill(std::size_t index, Duration span)
    {
        if (nodes_[index].rates) {
            stopProcess(nodes_[index]);
            clock.schedule(span, [this, index] { start(index); });
        }
    }

    void pause(std::size_t index, Duration span)
    {
        Node &node = nodes_[index];
        if (!node.rates || node.runtime->isPaused()) {
            return;
        }
        node.runtime->pause();
        clock.schedule(span, [this, index, life = node.life] {
            if (nodes_[index].rates && nodes_[index].life == life) {
                nodes_[index].runtime->resume();
            }
        });
    }

    /// Cuts an instance off from the other instances, and from the store.
    void cut(std::size_t index, bool peers, bool store, Duration span)
    {
        nodes_[index].cutFromPeers += peers ? 1 : 0;
        nodes_[index].cutFromStore += store ? 1 : 0;
        clock.schedule(span, [this, index, peers, store] {
            nodes_[index].cutFromPeers -= peers ? 1 : 0;
            nodes_[index].cutFromStore -= store ? 1 : 0;
        });
    }

    /// Cuts the link between two instances.
    void cutLink(std::size_t a, std::size_t b, Duration span)
    {
        const std::pair<std::size_t, std::size_t> link = std::minmax(a, b);
        cutLinks_.insert(link);
        clock.schedule(span, [this, link] { cutLinks_.erase(cutLinks_.find(link)); });
    }

    void loseStore(Duration span)
    {
        ++storeDown_;
        clock.schedule(span, [this] { --storeDown_; });
    }

    /// The store forgets the record of an instance, which notices at its next renewal.
    void revoke(std::size_t index)
    {
        nodes_[index].listedUntil = TimePoint();
    }

    /// Delivers messages up to this much later than usual.
    void setExtraDelay(Duration delay)
    {
        extraDelay_ = delay;
    }

private:
    struct Node
    {
        std::unique_ptr<PausableRuntime> runtime;
        std::unique_ptr<SharedRates> rates;
        std::uint64_t life = 0;
        std::int64_t born = 0;
        /// The store has the record until then.
        TimePoint listedUntil{};
        TimePoint confirmedAt{};
        int cutFromPeers = 0;
        int cutFromStore = 0;
        /// What the process heard last.
        std::vector<InstanceId> senders;
        std::vector<InstanceId> holders;
    };

    Duration upTo(Duration span)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(0, span.count())(random_));
    }

    void start(std::size_t index)
    {
        Node &node = nodes_[index];
        node.life = ++lastLife_;
        node.born = (clock.now().time_since_epoch().count() << 10) + static_cast<std::int64_t>(index);
        node.runtime = std::make_unique<PausableRuntime>(clock);
        node.rates = std::make_unique<SharedRates>(
            *node.runtime,
            idOf(index),
            allowance_,
            node.life,
            [this, index](const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done) {
                send(index, to, ask, std::move(done));
            },
            [&node] { return node.confirmedAt; },
            [](const RateReport &) {},
            [](const InstanceId &, const char *) {});
        node.confirmedAt = {};
        node.senders.clear();
        node.holders.clear();
        node.rates->setTerms(terms_);
        renew(node);
    }

    static void stopProcess(Node &node)
    {
        node.rates.reset();
        if (node.runtime) {
            node.runtime->stop();
        }
        node.life = 0;
    }

    bool reachesStore(const Node &node) const
    {
        return node.rates && !node.runtime->isPaused() && node.cutFromStore == 0 && storeDown_ == 0;
    }

    void renew(Node &node)
    {
        if (reachesStore(node)) {
            node.confirmedAt = clock.now();
            node.listedUntil = clock.now() + Lease;
        }
    }

    /// Each instance renews its record about once a second, and hears of the others after a random time.
    void beat()
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (beats_ % 10 == index % 10) {
                renew(nodes_[index]);
            }
        }
        ++beats_;
        // A store that is down forgets no lease.
        if (storeDown_ == 0) {
            std::vector<std::pair<std::int64_t, InstanceId>> listed;
            for (std::size_t index = 0; index < senders_; ++index) {
                if (nodes_[index].listedUntil > clock.now()) {
                    listed.emplace_back(nodes_[index].born, idOf(index));
                }
            }
            std::sort(listed.begin(), listed.end());
            std::vector<InstanceId> holders;
            std::transform(listed.begin(), listed.end(), std::back_inserter(holders), [](const auto &entry) { return entry.second; });
            for (std::size_t index = 0; index < nodes_.size(); ++index) {
                hear(index, holders);
            }
        } else {
            for (Node &node : nodes_) {
                node.listedUntil = std::max(node.listedUntil, clock.now() + Lease);
            }
        }
        clock.schedule(std::chrono::milliseconds(100), [this] { beat(); });
    }

    void hear(std::size_t index, std::vector<InstanceId> holders)
    {
        if (!reachesStore(nodes_[index])) {
            return;
        }
        std::vector<InstanceId> senders = holders;
        std::sort(senders.begin(), senders.end());
        if (nodes_[index].senders == senders && nodes_[index].holders == holders) {
            return;
        }
        nodes_[index].senders = senders;
        nodes_[index].holders = holders;
        clock.schedule(std::chrono::milliseconds(4) + upTo(std::chrono::milliseconds(800)),
                       [this, index, life = nodes_[index].life, senders = std::move(senders), holders = std::move(holders)] {
                           if (nodes_[index].life == life) {
                               nodes_[index].rates->setInstances(senders, holders);
                           }
                       });
    }

    bool isConnected(std::size_t a, std::size_t b) const
    {
        return nodes_[a].cutFromPeers == 0 && nodes_[b].cutFromPeers == 0 && cutLinks_.count(std::minmax(a, b)) == 0;
    }

    Duration delay(std::size_t a, std::size_t b)
    {
        constexpr std::size_t Regions = 3;
        const Duration hop = a % Regions == b % Regions ? std::chrono::microseconds(1400) : std::chrono::microseconds(12000);
        return hop + upTo(extraDelay_);
    }

    /// Runs `work` in a process, once it runs, unless it has ended.
    void runIn(std::size_t index, std::uint64_t life, std::function<void()> work)
    {
        if (nodes_[index].life == life && life != 0) {
            nodes_[index].runtime->schedule(Duration{0}, std::move(work));
        }
    }

    void send(std::size_t from, const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done)
    {
        ++messages;
        wants += ask.wants.size();
        const std::size_t target = static_cast<std::size_t>(std::stoul(to.text().substr(1))) - 100;
        const std::uint64_t life = nodes_[from].life;
        const auto finish = std::make_shared<std::function<void(const Result<RateReply> &)>>(std::move(done));
        const auto answer = [this, from, life, finish](const Result<RateReply> &reply) {
            runIn(from, life, [finish, reply] {
                if (*finish) {
                    std::exchange(*finish, nullptr)(reply);
                }
            });
        };
        clock.schedule(SendTimeout, [answer] { answer(notRun(Errc::Unavailable, "timed out")); });
        clock.schedule(delay(from, target), [this, from, target, ask, answer] {
            if (!isConnected(from, target)) {
                return;
            }
            if (!nodes_[target].rates) {
                answer(notRun(Errc::Unavailable, "refused"));
                return;
            }
            runIn(target, nodes_[target].life, [this, from, target, ask, answer] {
                const RateReply reply = nodes_[target].rates->onAsk(ask);
                clock.schedule(delay(target, from), [this, from, target, reply, answer] {
                    if (isConnected(from, target)) {
                        answer(reply);
                    }
                });
            });
        });
    }

    const RateAllowance allowance_;
    const std::size_t senders_;
    std::mt19937_64 random_;
    std::vector<Node> nodes_;
    std::map<std::string, RateTerms> terms_;
    std::uint64_t lastLife_ = 0;
    std::size_t beats_ = 0;
    int storeDown_ = 0;
    std::multiset<std::pair<std::size_t, std::size_t>> cutLinks_;
    Duration extraDelay_{0};
};

} // namespace Burdock
