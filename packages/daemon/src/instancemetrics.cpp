#include <burdock/daemon/instancemetrics.h>

#include <algorithm>
#include <string>

namespace Burdock
{

namespace
{

/// Maps a metric to a member of a struct of counters.
template<class Counters>
struct CounterRow
{
    const char *name;
    const char *help;
    std::uint64_t Counters::*member;
};

template<class Counters, class Read, std::size_t Count>
void registerCounters(Metrics &metrics, const CounterRow<Counters> (&rows)[Count], Read read)
{
    for (const CounterRow<Counters> &row : rows) {
        metrics.registerMetric(
            std::string("burdock_") + row.name + "_total", "counter", row.help, [read, member = row.member] { return static_cast<double>(read().*member); });
    }
}

const CounterRow<QueryCounters> QueryRows[] = {
    {"queries_started", "Queries taken up.", &QueryCounters::started},
    {"queries_complete", "Queries answered with full coverage.", &QueryCounters::complete},
    {"queries_partial", "Queries answered with less than full coverage.", &QueryCounters::partial},
    {"queries_refused", "Queries refused.", &QueryCounters::refused},
    {"queries_cancelled", "Queries whose caller went away.", &QueryCounters::cancelled},
    {"query_restarts", "Times a query began again at another snapshot.", &QueryCounters::restarts},
    {"subrequests", "Sub-requests sent, hedges and retries included.", &QueryCounters::subRequests},
    {"hedges", "Sub-requests sent because another was late.", &QueryCounters::hedges},
    {"retries", "Sub-requests sent because another failed.", &QueryCounters::retries},
    {"losers_cancelled", "Sub-requests that a hedge made needless.", &QueryCounters::losersCancelled},
    {"mismatched_replies", "Replies for another snapshot, shard or range than was asked.", &QueryCounters::mismatchedReplies},
    {"malformed_replies", "Replies short of their own total, out of order, or doubled.", &QueryCounters::malformedReplies},
    {"hits_carried", "Hits received before merging.", &QueryCounters::hitsReceived},
};

const CounterRow<TacticsCounters> TacticsRows[] = {
    {"hedges_denied", "Hedges not sent for want of budget.", &TacticsCounters::hedgesDenied},
    {"retries_denied", "Retries not sent for want of budget.", &TacticsCounters::retriesDenied},
    {"ejections", "Servers taken out of choice for failing.", &TacticsCounters::ejections},
};

const CounterRow<RouterCounters> RouterRows[] = {
    {"subrequests_local", "Sub-requests for servers that this instance holds.", &RouterCounters::sentLocal},
    {"subrequests_remote", "Sub-requests sent to peers.", &RouterCounters::sentRemote},
    {"subrequests_without_holder", "Sub-requests for servers that no instance could reach.", &RouterCounters::noHolder},
    {"links_lost", "Links to peers lost.", &RouterCounters::lostLinks},
    {"stray_replies", "Replies that nobody waited for.", &RouterCounters::unmatchedReplies},
    {"silent_holders", "Sub-requests whose holder said nothing in time.", &RouterCounters::holderTimeouts},
};

const CounterRow<BackendCounters> BackendRows[] = {
    {"backend_requests", "Requests sent to servers.", &BackendCounters::requests},
    {"backend_malformed", "Responses of servers that could not be understood or named another request.", &BackendCounters::malformed},
    {"backend_lost", "Requests to servers without a response.", &BackendCounters::lost},
    {"backend_cancels", "Requests that servers were told to stop.", &BackendCounters::cancels},
    {"backend_late_replies", "Responses that came after the request was cancelled.", &BackendCounters::lateReplies},
};

const CounterRow<HttpServerCounters> ServerRows[] = {
    {"http_accepted", "Callers' connections accepted.", &HttpServerCounters::accepted},
    {"http_refused_connections", "Callers' connections refused at the limit.", &HttpServerCounters::refusedConnections},
    {"http_replaced_connections", "Callers' idle connections closed for new ones.", &HttpServerCounters::replacedConnections},
    {"http_requests", "Callers' requests read.", &HttpServerCounters::requests},
    {"http_bad_requests", "Requests that were not HTTP.", &HttpServerCounters::badRequests},
    {"http_too_large", "Requests over the size limits.", &HttpServerCounters::tooLarge},
    {"http_timed_out", "Connections closed for being slow or idle.", &HttpServerCounters::timedOut},
    {"http_dropped_answers", "Answers whose caller had gone.", &HttpServerCounters::droppedAnswers},
};

const CounterRow<PeerLinkCounters> LinkRows[] = {
    {"link_frames_sent", "Frames sent to peers.", &PeerLinkCounters::framesSent},
    {"link_messages_sent", "Messages sent to peers.", &PeerLinkCounters::messagesSent},
    {"link_frames_received", "Frames from peers.", &PeerLinkCounters::framesReceived},
    {"link_messages_received", "Messages from peers.", &PeerLinkCounters::messagesReceived},
    {"link_broken_frames", "Frames that could not be understood.", &PeerLinkCounters::brokenFrames},
    {"link_wrong_protocol", "Links refused for another protocol number.", &PeerLinkCounters::wrongProtocol},
    {"link_oversize_frames", "Frames over the limit.", &PeerLinkCounters::oversizeFrames},
    {"link_messages_dropped", "Messages dropped for a full queue or a lost link.", &PeerLinkCounters::messagesDropped},
};

const CounterRow<MemoryBudget::Counters> MemoryRows[] = {
    {"memory_paused", "Connections that were not read any further, to save memory.", &MemoryBudget::Counters::paused},
    {"memory_refused", "Requests refused before their body was read, for lack of memory.", &MemoryBudget::Counters::refused},
    {"memory_closed", "Connections closed for lack of memory since they made no progress.", &MemoryBudget::Counters::closed},
    {"memory_dropped", "Responses dropped for lack of memory.", &MemoryBudget::Counters::dropped},
};

const CounterRow<CommandCounters> CommandRows[] = {
    {"commands_started", "Commands taken up.", &CommandCounters::started},
    {"commands_dispatched", "Commands sent to a server.", &CommandCounters::dispatched},
    {"commands_ran", "Commands that ran.", &CommandCounters::ran},
    {"commands_replayed", "Commands answered with the outcome of an earlier request of the same key.", &CommandCounters::replayed},
    {"commands_not_run", "Commands refused as not run.", &CommandCounters::notRun},
    {"commands_may_have_run", "Commands whose outcome is not known.", &CommandCounters::mayHaveRun},
};

const CounterRow<MembershipCounters> MembershipRows[] = {
    {"member_suspicions", "Members that came under suspicion.", &MembershipCounters::suspicions},
    {"member_deaths", "Members taken for dead.", &MembershipCounters::deaths},
    {"member_returns", "Dead members that came back.", &MembershipCounters::returns},
    {"member_refutations", "Suspicions of this instance that it refuted.", &MembershipCounters::refutations},
    {"member_pauses", "Times this instance found that it had stood still.", &MembershipCounters::pauses},
    {"probe_answers_refused", "Probes left unanswered at the limit.", &MembershipCounters::answersRefused},
};

void registerGauges(Metrics &metrics, const MetricSources &sources)
{
    const auto gauge = [&metrics](const char *name, const char *help, std::function<double()> read) {
        metrics.registerMetric(std::string("burdock_") + name, "gauge", help, std::move(read));
    };
    gauge("holder_requests", "Sub-requests that wait or run at this instance's servers.", [&holder = sources.holder] {
        return static_cast<double>(holder.inFlight());
    });
    gauge("links_open", "Open links to peers.", [&links = sources.links] { return static_cast<double>(links.openLinks()); });
    gauge("http_connections", "Open callers' connections.", [&server = sources.server] { return static_cast<double>(server.openConnections()); });
    gauge("memory_held_bytes", "Memory that is held for callers and servers.", [&memory = sources.memory] { return static_cast<double>(memory.held()); });
    gauge("memory_limit_bytes", "The memory that may be held for them.", [&memory = sources.memory] { return static_cast<double>(memory.terms().limit); });
    for (const BackendState state : {BackendState::Active, BackendState::Suspected, BackendState::Draining, BackendState::Gone}) {
        const std::string name = "servers_" + std::string(backendStateName(state));
        gauge(name.c_str(), "Listed servers in this state.", [&lives = sources.lives, state] { return static_cast<double>(lives.count(state)); });
    }
    for (const Rank rank : AllRanks) {
        const std::string name = "admission_refused_" + std::string(rankName(rank)) + "_total";
        metrics.registerMetric("burdock_" + name, "counter", "Queries of the rank refused early.", [&admission = sources.admission, rank] {
            return static_cast<double>(admission.refusedCounts()[rankIndex(rank)]);
        });
    }
}

} // namespace

void registerInstanceMetrics(Metrics &metrics, const MetricSources &sources)
{
    registerCounters(metrics, QueryRows, [&queries = sources.queries]() -> const QueryCounters & { return queries; });
    registerCounters(metrics, CommandRows, [&commands = sources.commands]() -> const CommandCounters & { return commands; });
    registerCounters(metrics, TacticsRows, [&tactics = sources.tactics] { return tactics.counters(); });
    registerCounters(metrics, RouterRows, [&router = sources.router]() -> const RouterCounters & { return router.counters(); });
    registerCounters(metrics, BackendRows, [&backends = sources.backends]() -> const BackendCounters & { return backends.counters(); });
    registerCounters(metrics, ServerRows, [&server = sources.server]() -> const HttpServerCounters & { return server.counters(); });
    registerCounters(metrics, MemoryRows, [&memory = sources.memory]() -> const MemoryBudget::Counters & { return memory.counters(); });
    registerCounters(metrics, LinkRows, [&links = sources.links]() -> const PeerLinkCounters & { return links.counters(); });
    registerGauges(metrics, sources);
}

void registerMembershipMetrics(Metrics &metrics, const Membership &membership)
{
    registerCounters(metrics, MembershipRows, [&membership]() -> const MembershipCounters & { return membership.counters(); });
    const std::pair<const char *, MemberState> states[] = {{"alive", MemberState::Alive}, {"suspect", MemberState::Suspect}, {"dead", MemberState::Dead}};
    for (const auto &[name, state] : states) {
        metrics.registerMetric(std::string("burdock_members_") + name, "gauge", "Other members in this state.", [&membership, wanted = state] {
            const std::vector<Member> members = membership.members();
            return static_cast<double>(std::count_if(members.begin(), members.end(), [wanted](const Member &member) { return member.state == wanted; }));
        });
    }
}
} // namespace Burdock
