#include "claimworld.h"

#include <algorithm>

namespace Burdock
{

namespace
{

constexpr Duration Step = std::chrono::milliseconds(1);
constexpr Duration OneWay = std::chrono::milliseconds(2);
constexpr Duration StoreTimeout = std::chrono::milliseconds(50);
constexpr Duration LateEffect = std::chrono::milliseconds(170);
constexpr Duration ServiceTime = std::chrono::milliseconds(10);
constexpr Duration LateService = std::chrono::milliseconds(700);
const CommandName Invoice("invoice");
const CallerId Portal("portal");

std::shared_ptr<Configuration> invoiceConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    CommandDeclaration &command = configuration->commands[Invoice];
    command.name = Invoice;
    command.servers = {ServerId("s1"), ServerId("s2")};
    command.claimWindow = std::chrono::minutes(10);
    CallerRule rule;
    rule.caller = Portal;
    rule.longestWait = std::chrono::seconds(2);
    command.callers[Portal] = rule;
    return configuration;
}

/// Selects the first untried server and always allows a retry.
class FirstReplicaTactics final : public QueryTactics
{
public:
    std::optional<ServerId> chooseReplica(const std::vector<ServerId> &replicas, Rank, const std::vector<ServerId> &tried) override
    {
        const auto found =
            std::find_if(replicas.begin(), replicas.end(), [&](const ServerId &id) { return std::find(tried.begin(), tried.end(), id) == tried.end(); });
        return found == replicas.end() ? std::nullopt : std::optional<ServerId>(*found);
    }
    std::optional<Duration> hedgeDelay(const ServerId &, Rank) override
    {
        return std::nullopt;
    }
    void onFirstAttempt() override
    {
    }
    bool tryAcquireHedge() override
    {
        return false;
    }
    bool tryAcquireRetry() override
    {
        return true;
    }
    void onAttemptFinished(const ServerId &, Rank, Errc, Duration) override
    {
    }
    void onServerReport(const ServerReport &) override
    {
    }
};

tl::unexpected<Failure> timedOut()
{
    return mayHaveRun(Errc::DeadlineExceeded, "timeout");
}

} // namespace

class WorldStorePort final : public ClaimStorePort
{
public:
    WorldStorePort(ClaimWorld &world, std::size_t instance, std::uint64_t incarnation)
        : world_(world)
        , instance_(instance)
        , incarnation_(incarnation)
    {
    }

    void commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done) override
    {
        call<ClaimCommit>([transaction](MemoryClaimStore &store) { return store.commit(transaction); }, std::move(done));
    }

    void raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done) override
    {
        call<ClaimFloor>([found, bucket](MemoryClaimStore &store) { return store.raiseFloor(found, bucket); }, std::move(done));
    }

private:
    template<class T>
    void call(std::function<T(MemoryClaimStore &)> effect, Callback<T> done)
    {
        ClaimWorld &world = world_;
        const auto reply = [&world, instance = instance_, incarnation = incarnation_, done = std::move(done)](Duration delay, Result<T> result) {
            world.toNode(instance, incarnation, delay, [done, result] { done(result); });
        };
        switch (world_.storeBehaviour()) {
        case StoreBehaviour::Works:
            return world_.at(OneWay, [&world, effect, reply] { reply(OneWay, effect(world.store)); });
        case StoreBehaviour::Down:
            return reply(OneWay, notRun(Errc::Unavailable, "down"));
        case StoreBehaviour::ReplyLost:
            world_.at(OneWay, [&world, effect] { effect(world.store); });
            return reply(StoreTimeout, timedOut());
        case StoreBehaviour::RequestLost:
            return reply(StoreTimeout, timedOut());
        case StoreBehaviour::LateEffect:
            world_.at(LateEffect, [&world, effect] { effect(world.store); });
            return reply(StoreTimeout, timedOut());
        }
    }

    ClaimWorld &world_;
    std::size_t instance_;
    std::uint64_t incarnation_;
};

/// One instance. `life` holds all state that is lost when it is killed.
struct ClaimWorld::Node
{
    struct Process
    {
        Process(ClaimWorld &world, std::size_t number, std::uint64_t incarnation);

        std::uint64_t incarnation;
        ManualRuntime runtime;
        std::unique_ptr<WorldStorePort> storePort;
        std::unique_ptr<ClaimPort> claimPort;
        std::unique_ptr<SubRequestPort> serverPort;
        FirstReplicaTactics tactics;
        SubRequestIdGenerator ids;
        CommandCounters counters;
        ClaimOwner owner;
        ClaimSweeper sweeper;
        CommandCoordinator coordinator;
    };

    std::unique_ptr<Process> life;
    std::uint64_t incarnations = 0;
    bool frozen = false;
    std::vector<std::function<void()>> inbox;
    std::vector<std::size_t> view;
};

class WorldClaimPort final : public ClaimPort
{
public:
    WorldClaimPort(ClaimWorld &world, std::size_t instance, std::uint64_t incarnation)
        : world_(world)
        , instance_(instance)
        , incarnation_(incarnation)
    {
    }

    void requestClaim(const ClaimRequest &request, std::size_t attempt, Callback done) override
    {
        const std::vector<std::size_t> &view = world_.nodes_[instance_]->view;
        ClaimWorld &world = world_;
        const auto reply = [&world, instance = instance_, incarnation = incarnation_, done = std::move(done)](const ClaimAnswer &answer) {
            world.toNode(instance, incarnation, OneWay, [done, answer] { done(answer); });
        };
        if (attempt >= view.size() || !world_.nodes_[view[attempt]]->life) {
            return reply(ClaimAnswer{0, Errc::Unavailable, false, {}});
        }
        const std::size_t owner = view[attempt];
        world_.toNode(
            owner, world_.nodes_[owner]->life->incarnation, OneWay, [&world, owner, request, reply] { world.owner(owner).requestClaim(request, reply); });
    }

    void record(const ClaimOutcome &outcome) override
    {
        const std::size_t owner = world_.nodes_[instance_]->view.front();
        if (world_.nodes_[owner]->life) {
            world_.toNode(owner, world_.nodes_[owner]->life->incarnation, OneWay, [&world = world_, owner, outcome] { world.owner(owner).record(outcome); });
        }
    }

private:
    ClaimWorld &world_;
    std::size_t instance_;
    std::uint64_t incarnation_;
};

class WorldServerPort final : public SubRequestPort
{
public:
    WorldServerPort(ClaimWorld &world, std::size_t instance, std::uint64_t incarnation)
        : world_(world)
        , instance_(instance)
        , incarnation_(incarnation)
    {
    }

    void send(const SubRequest &request, Callback done) override
    {
        ClaimWorld &world = world_;
        world.dispatchedAfterDeadline_ += request.budget <= Duration{0} ? 1 : 0;
        const auto reply =
            [&world, instance = instance_, incarnation = incarnation_, request, done = std::move(done)](Duration delay, Errc code, Verdict verdict) {
                SubReply answer;
                answer.id = request.id;
                answer.code = code;
                answer.verdict = verdict;
                answer.outcome = "done " + request.key;
                world.toNode(instance, incarnation, delay, [done, answer] { done(answer); });
            };
        const auto run = [&world, request] { world.recordRun(request); };
        switch (world_.serverBehaviour()) {
        case ServerBehaviour::Runs:
            world_.at(OneWay, run);
            return reply(OneWay + ServiceTime, Errc::Ok, Verdict::Ran);
        case ServerBehaviour::Refuses:
            return reply(2 * OneWay, Errc::Overloaded, Verdict::NotRun);
        case ServerBehaviour::RunsReplyLost:
            world_.at(OneWay, run);
            return reply(ServiceTime, Errc::ConnectionLost, Verdict::MayHaveRun);
        case ServerBehaviour::RequestLost:
            return reply(ServiceTime, Errc::ConnectionLost, Verdict::MayHaveRun);
        case ServerBehaviour::RunsLate:
            world_.at(LateService, run);
            return reply(LateService + OneWay, Errc::Ok, Verdict::Ran);
        }
    }

    void cancel(const SubRequestId &) override
    {
    }

private:
    ClaimWorld &world_;
    std::size_t instance_;
    std::uint64_t incarnation_;
};

ClaimWorld::Node::Process::Process(ClaimWorld &world, std::size_t number, std::uint64_t life)
    : incarnation(life)
    , storePort(std::make_unique<WorldStorePort>(world, number, life))
    , claimPort(std::make_unique<WorldClaimPort>(world, number, life))
    , serverPort(std::make_unique<WorldServerPort>(world, number, life))
    , ids(InstanceId("i" + std::to_string(number)), life)
    , owner(runtime, *storePort)
    , sweeper(
          runtime, *storePort, [&world] { return world.configuration; }, [](const CommandName &) { return true; })
    , coordinator(
          CommandContext{runtime, *serverPort, *claimPort, tactics, ids, counters, InstanceId("i" + std::to_string(number)), life, CommandLimits{}},
          [&world] { return world.configuration; },
          world.random_())
{
}

ClaimWorld::ClaimWorld(std::size_t instances, std::uint64_t seed)
    : configuration(invoiceConfiguration())
    , random_(seed)
{
    std::vector<std::size_t> view;
    for (std::size_t number = 0; number < instances; ++number) {
        nodes_.push_back(std::make_unique<Node>());
        view.push_back(number);
    }
    for (std::size_t number = 0; number < instances; ++number) {
        nodes_[number]->view = view;
        restart(number);
    }
}

ClaimWorld::~ClaimWorld() = default;

std::size_t ClaimWorld::submit(std::size_t instance, const std::string &key, Duration deadline)
{
    const std::size_t number = requests.size();
    requests.push_back(CallerRequest{key, instance, false, false, CommandResult{}});
    Node &node = *nodes_[instance];
    if (!node.life) {
        requests[number].instanceLost = true;
        return number;
    }
    deliver(instance, node.life->incarnation, [this, number, instance, key, deadline] {
        const CommandRequest request{Portal, Invoice, key, std::to_string(number), deadline};
        coordinator(instance).submit(request, [this, number](Result<CommandResult> result) {
            requests[number].answered = true;
            requests[number].result = std::move(result);
        });
    });
    return number;
}

void ClaimWorld::run(Duration span)
{
    for (const TimePoint end = now_ + span; now_ < end;) {
        now_ += Step;
        while (!events_.empty() && events_.begin()->first <= now_) {
            const auto work = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            work();
        }
        for (const auto &node : nodes_) {
            if (!node->life) {
                continue;
            }
            if (node->frozen) {
                node->life->runtime.freezeFor(Step);
            } else {
                node->life->runtime.advance(Step);
            }
        }
    }
}

void ClaimWorld::at(Duration delay, std::function<void()> work)
{
    events_.emplace(now_ + delay, std::move(work));
}

void ClaimWorld::toNode(std::size_t instance, std::uint64_t incarnation, Duration delay, std::function<void()> work)
{
    at(delay, [this, instance, incarnation, work = std::move(work)] { deliver(instance, incarnation, work); });
}

void ClaimWorld::deliver(std::size_t instance, std::uint64_t incarnation, std::function<void()> work)
{
    Node &node = *nodes_[instance];
    if (!node.life || node.life->incarnation != incarnation) {
        return;
    }
    if (node.frozen) {
        node.inbox.push_back(std::move(work));
    } else {
        work();
    }
}

void ClaimWorld::kill(std::size_t instance)
{
    nodes_[instance]->life.reset();
    nodes_[instance]->inbox.clear();
    nodes_[instance]->frozen = false;
    for (CallerRequest &request : requests) {
        request.instanceLost = request.instanceLost || (request.instance == instance && !request.answered);
    }
}

void ClaimWorld::restart(std::size_t instance)
{
    Node &node = *nodes_[instance];
    if (!node.life) {
        node.life = std::make_unique<Node::Process>(*this, instance, ++node.incarnations);
        node.life->runtime.freezeFor(std::chrono::duration_cast<Duration>(now_.time_since_epoch()));
        node.life->sweeper.start();
    }
}

void ClaimWorld::freeze(std::size_t instance)
{
    nodes_[instance]->frozen = nodes_[instance]->life != nullptr;
}

void ClaimWorld::thaw(std::size_t instance)
{
    Node &node = *nodes_[instance];
    node.frozen = false;
    // Processes either the timers or the messages first.
    if (node.life && random_() % 2 == 0) {
        node.life->runtime.advance(Duration{0});
    }
    for (const auto &work : std::exchange(node.inbox, {})) {
        work();
    }
}

void ClaimWorld::setView(std::size_t instance, std::vector<std::size_t> owners)
{
    nodes_[instance]->view = std::move(owners);
}

CommandCoordinator &ClaimWorld::coordinator(std::size_t instance)
{
    return nodes_[instance]->life->coordinator;
}

ClaimOwner &ClaimWorld::owner(std::size_t instance)
{
    return nodes_[instance]->life->owner;
}

ManualRuntime &ClaimWorld::runtime(std::size_t instance)
{
    return nodes_[instance]->life->runtime;
}

} // namespace Burdock
