#include <burdock/policy/holder.h>

#include "holderdeadlines.h"
#include "holderreporter.h"
#include "holderserver.h"

#include <set>
#include <utility>

namespace Burdock
{

namespace
{

/// Maximum number of sub-requests of one rank that wait for one server.
constexpr std::size_t MaxQueueLength = 2000;

} // namespace

class Holder::Private
{
public:
    Private(Runtime &runtime, BackendPort &backend)
        : runtime_(runtime)
        , backend_(backend)
        , deadlines_(runtime, [this](const SubRequestId &id) { onDeadline(items_.find(id)); })
        , reporter_(runtime, [this](const ServerId &id) { return servers_.at(id).report(runtime_.now()); })
    {
    }

    ~Private();

    void configure(const ConfigurationPtr &configuration);
    void setDraining(const ServerId &id, bool draining);
    void submit(const SubRequest &request, Callback done);
    void cancel(const SubRequestId &id);
    std::vector<ServerReport> reports() const;

    std::size_t inFlight() const
    {
        return items_.size();
    }

    const HolderCounters &counters() const
    {
        return counters_;
    }

    void onReport(ReportHandler handler)
    {
        reporter_.setHandler(std::move(handler));
    }

private:
    enum class State {
        Waiting,
        Running,
        Refused,
    };

    struct Item
    {
        SubRequest request;
        Callback done;
        State state = State::Waiting;
        TimePoint deadline;
        TimePoint started;
        QueueTicket ticket;
        TimerId refusal = 0;
    };

    using Items = std::map<SubRequestId, Item>;

    HolderServer &serverOf(const SubRequest &request);
    FleetDeclaration declarationOf(const FleetName &fleet) const;
    std::uint32_t shareOf(const SubRequest &request) const;
    void enqueue(Items::iterator item, HolderServer &server);
    void refuseLater(Items::iterator item, Errc code, const char *message, Duration retryAfter);
    void dispatchWaiting(HolderServer &server);
    void dispatch(Items::iterator item, HolderServer &server);
    void onBackendReply(const SubRequestId &id, const BackendReply &reply);
    void finish(Items::iterator item, SubReply reply);
    void releaseSlot(const Item &item, HolderServer &server);
    void refuseWaiting(const ServerId &id, HolderServer &server);
    void onDeadline(Items::iterator item);

    Runtime &runtime_;
    BackendPort &backend_;
    ConfigurationPtr configuration_ = std::make_shared<Configuration>();
    std::map<ServerId, HolderServer> servers_;
    std::set<ServerId> drainingServers_;
    Items items_;
    HolderDeadlines deadlines_;
    HolderReporter reporter_;
    HolderCounters counters_;
};

Holder::Private::~Private()
{
    for (const auto &[id, item] : items_) {
        runtime_.cancel(item.refusal);
        if (item.state == State::Running) {
            backend_.cancel(id);
        }
    }
}

void Holder::Private::configure(const ConfigurationPtr &configuration)
{
    configuration_ = configuration;
    for (auto &[id, server] : servers_) {
        server.configure(declarationOf(server.fleet()));
        dispatchWaiting(server);
    }
}

FleetDeclaration Holder::Private::declarationOf(const FleetName &fleet) const
{
    const auto found = configuration_->fleets.find(fleet);
    return found == configuration_->fleets.end() ? FleetDeclaration{fleet} : found->second;
}

std::uint32_t Holder::Private::shareOf(const SubRequest &request) const
{
    const auto shareIn = [&request](const auto &declarations, const auto &name) -> std::uint32_t {
        const auto declared = declarations.find(name);
        if (declared == declarations.end()) {
            return 1;
        }
        const auto rule = declared->second.callers.find(request.caller);
        return rule == declared->second.callers.end() ? 1 : rule->second.share;
    };
    return request.kind == SubRequestKind::Search ? shareIn(configuration_->indexes, request.snapshot.index)
                                                  : shareIn(configuration_->commands, request.command);
}

HolderServer &Holder::Private::serverOf(const SubRequest &request)
{
    const auto found = servers_.find(request.server);
    if (found != servers_.end()) {
        return found->second;
    }
    HolderServer &server = servers_.emplace(request.server, HolderServer(request.server, declarationOf(request.fleet))).first->second;
    server.setListedDraining(drainingServers_.count(request.server) > 0);
    return server;
}

void Holder::Private::setDraining(const ServerId &id, bool draining)
{
    if (draining) {
        drainingServers_.insert(id);
    } else {
        drainingServers_.erase(id);
    }
    const auto found = servers_.find(id);
    if (found == servers_.end()) {
        return;
    }
    found->second.setListedDraining(draining);
    if (draining) {
        refuseWaiting(id, found->second);
    }
    reporter_.update(id);
}

void Holder::Private::submit(const SubRequest &request, Callback done)
{
    const TimePoint now = runtime_.now();
    Item newItem;
    newItem.request = request;
    newItem.done = std::move(done);
    newItem.deadline = now + request.budget;
    const auto [item, added] = items_.emplace(request.id, std::move(newItem));
    if (!added) {
        return;
    }
    HolderServer &server = serverOf(request);
    if (request.budget <= Duration{0}) {
        refuseLater(item, Errc::DeadlineExceeded, "The deadline had passed on arrival.", Duration{0});
    } else if (server.draining(now)) {
        refuseLater(item, Errc::Draining, "The server is leaving; ask another replica.", Duration{0});
    } else {
        enqueue(item, server);
    }
}

void Holder::Private::enqueue(Items::iterator item, HolderServer &server)
{
    const TimePoint now = runtime_.now();
    const SubRequest &request = item->second.request;
    const QueuedRequest queued{request.id, request.caller, request.rank, shareOf(request), now, item->second.deadline};
    RankQueue &queue = server.queue();
    const Duration wait = queue.estimatedWait(request.rank, request.caller, queued.weight, server.slots());
    if (!server.canMeetDeadline(queued)) {
        refuseLater(item, Errc::DeadlineExceeded, "The queue of the server is longer than the time that is left.", wait);
    } else if (queue.waiting(request.rank) >= MaxQueueLength) {
        refuseLater(item, Errc::Overloaded, "The queue of the server is full.", wait);
    } else {
        item->second.ticket = queue.push(queued, now);
        deadlines_.add(item->second.deadline, item->first);
        dispatchWaiting(server);
    }
    reporter_.update(request.server);
}

/// Refuses the request on the next turn of the event loop.
void Holder::Private::refuseLater(Items::iterator item, Errc code, const char *message, Duration retryAfter)
{
    SubReply reply;
    reply.code = code;
    reply.verdict = Verdict::NotRun;
    reply.message = message;
    reply.retryAfter = retryAfter;
    item->second.state = State::Refused;
    ++counters_.refused[rankIndex(item->second.request.rank)];
    item->second.refusal = runtime_.schedule(Duration{0}, [this, id = item->first, reply = std::move(reply)] {
        const auto refused = items_.find(id);
        refused->second.refusal = 0;
        finish(refused, reply);
    });
}

/// Dispatches waiting requests while the server has free slots.
void Holder::Private::dispatchWaiting(HolderServer &server)
{
    while (const auto next = server.queue().pop(server.slots(), runtime_.now())) {
        dispatch(items_.find(*next), server);
    }
}

void Holder::Private::dispatch(Items::iterator item, HolderServer &server)
{
    const TimePoint now = runtime_.now();
    Item &work = item->second;
    work.started = now;
    if (work.deadline <= now) {
        server.queue().release(work.request.rank, now);
        deadlines_.remove(item->second.deadline, item->first);
        refuseLater(item, Errc::DeadlineExceeded, "The deadline passed in the queue.", Duration{0});
        return;
    }
    work.state = State::Running;
    ++counters_.dispatched[rankIndex(work.request.rank)];
    backend_.dispatch(work.request, work.deadline - now, [this, id = item->first](const BackendReply &reply) { onBackendReply(id, reply); });
}

void Holder::Private::onBackendReply(const SubRequestId &id, const BackendReply &reply)
{
    const auto item = items_.find(id);
    if (item == items_.end() || item->second.state != State::Running) {
        return;
    }
    const ServerId name = item->second.request.server;
    HolderServer &server = servers_.at(name);
    counters_.sheds += reply.shed ? 1 : 0;
    server.recordReply(reply, item->second.request.rank, item->second.started, runtime_.now());
    releaseSlot(item->second, server);
    if (server.draining(runtime_.now())) {
        refuseWaiting(name, server);
    }
    dispatchWaiting(server);
    reporter_.update(name);
    finish(item, reply.reply);
}

void Holder::Private::releaseSlot(const Item &item, HolderServer &server)
{
    server.queue().release(item.request.rank, runtime_.now());
}

void Holder::Private::finish(Items::iterator item, SubReply reply)
{
    deadlines_.remove(item->second.deadline, item->first);
    const Item work = std::move(item->second);
    items_.erase(item);
    reply.id = work.request.id;
    reply.report = servers_.at(work.request.server).report(runtime_.now());
    work.done(reply);
}

/// Refuses all requests that wait for a draining server.
void Holder::Private::refuseWaiting(const ServerId &id, HolderServer &server)
{
    if (server.queue().waiting() == 0) {
        return;
    }
    for (auto item = items_.begin(); item != items_.end(); ++item) {
        Item &work = item->second;
        if (work.state == State::Waiting && work.request.server == id) {
            server.queue().remove(work.ticket, runtime_.now());
            deadlines_.remove(item->second.deadline, item->first);
            refuseLater(item, Errc::Draining, "The server is leaving; ask another replica.", Duration{0});
        }
    }
}

void Holder::Private::cancel(const SubRequestId &id)
{
    const auto item = items_.find(id);
    if (item == items_.end()) {
        return;
    }
    const ServerId name = item->second.request.server;
    HolderServer &server = servers_.at(name);
    const State state = item->second.state;
    if (state == State::Running) {
        backend_.cancel(id);
        releaseSlot(item->second, server);
    } else if (state == State::Waiting) {
        server.queue().remove(item->second.ticket, runtime_.now());
    }
    runtime_.cancel(item->second.refusal);
    deadlines_.remove(item->second.deadline, item->first);
    items_.erase(item);
    dispatchWaiting(server);
    reporter_.update(name);
}

void Holder::Private::onDeadline(Items::iterator item)
{
    HolderServer &server = servers_.at(item->second.request.server);
    SubReply reply;
    reply.code = Errc::DeadlineExceeded;
    if (item->second.state == State::Running) {
        backend_.cancel(item->first);
        server.recordTimeout(item->second.request.rank, runtime_.now() - item->second.started);
        releaseSlot(item->second, server);
        reply.verdict = Verdict::MayHaveRun;
        reply.message = "The server did not answer in time.";
        dispatchWaiting(server);
    } else {
        server.queue().remove(item->second.ticket, runtime_.now());
        ++counters_.refused[rankIndex(item->second.request.rank)];
        reply.verdict = Verdict::NotRun;
        reply.message = "The deadline passed in the queue.";
    }
    reporter_.update(item->second.request.server);
    finish(item, std::move(reply));
}

std::vector<ServerReport> Holder::Private::reports() const
{
    std::vector<ServerReport> all;
    for (const auto &[id, server] : servers_) {
        all.push_back(server.report(runtime_.now()));
    }
    return all;
}

Holder::Holder(Runtime &runtime, BackendPort &backend)
    : d_(std::make_unique<Private>(runtime, backend))
{
}

Holder::~Holder() = default;

void Holder::configure(const ConfigurationPtr &configuration)
{
    d_->configure(configuration);
}

void Holder::setDraining(const ServerId &server, bool draining)
{
    d_->setDraining(server, draining);
}

void Holder::submit(const SubRequest &request, Callback done)
{
    d_->submit(request, std::move(done));
}

void Holder::cancel(const SubRequestId &id)
{
    d_->cancel(id);
}

void Holder::onReport(ReportHandler handler)
{
    d_->onReport(std::move(handler));
}

std::vector<ServerReport> Holder::reports() const
{
    return d_->reports();
}

std::size_t Holder::inFlight() const
{
    return d_->inFlight();
}

const HolderCounters &Holder::counters() const
{
    return d_->counters();
}

} // namespace Burdock
