#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/runtime.h>

#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace Burdock
{

/// The behaviour of a simulated backend server.
struct ModelServer
{
    enum class Mode {
        Answers,
        FailsAtOnce,
        Unreachable,
        Silent,
        Drains,
    };

    Mode mode = Mode::Answers;
    /// How long a request occupies one of the slots.
    Duration service = std::chrono::milliseconds(10);
    /// Requests beyond the slots wait in the backlog of the server; requests beyond the backlog are shed.
    std::uint32_t slots = 1000;
    std::uint32_t backlog = 0;
};

/// A request and when the simulated server received it.
struct ModelDispatch
{
    SubRequest request;
    TimePoint at;
};

/// Simulated backend servers on a manual clock, with slots, a first-in first-out backlog and service times.
class ModelBackend final : public BackendPort
{
public:
    explicit ModelBackend(Runtime &runtime)
        : runtime_(runtime)
    {
    }

    void dispatch(const SubRequest &request, Duration /*budget*/, Callback done) override
    {
        if (recordDispatches) {
            dispatches.push_back({request, runtime_.now()});
        }
        ++dispatched;
        State &state = states_[request.server];
        const ModelServer &server = servers[request.server];
        const auto run = running_.emplace(request.id, Running{request, std::move(done)}).first;
        if (server.mode == ModelServer::Mode::Silent) {
            ++state.busy;
            run->second.started = true;
        } else if (server.mode != ModelServer::Mode::Answers) {
            answerLater(request.id, RefusalTime, refusalOf(request, server.mode));
        } else if (state.busy < server.slots) {
            start(run->second);
        } else if (state.backlog.size() < server.backlog) {
            state.backlog.push_back(request.id);
        } else {
            ++sheds;
            BackendReply reply = answerTo(request, Errc::Overloaded, Verdict::NotRun);
            reply.shed = true;
            answerLater(request.id, RefusalTime, reply);
        }
    }

    void cancel(const SubRequestId &id) override
    {
        ++cancelled;
        const auto run = running_.find(id);
        if (run != running_.end()) {
            runtime_.cancel(run->second.timer);
            finish(run);
        }
    }

    std::uint32_t busy(const ServerId &server)
    {
        return states_[server].busy;
    }

    std::map<ServerId, ModelServer> servers;
    /// If set, returns the service time of each request.
    std::function<Duration(const SubRequest &)> serviceOf;
    /// Called when a server starts a request.
    std::function<void(const SubRequest &)> onStart;
    bool recordDispatches = true;
    std::vector<ModelDispatch> dispatches;
    std::uint64_t dispatched = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t sheds = 0;

private:
    static constexpr Duration RefusalTime = std::chrono::microseconds(200);

    struct Running
    {
        SubRequest request;
        Callback done;
        TimerId timer = 0;
        bool started = false;
    };

    struct State
    {
        std::uint32_t busy = 0;
        std::deque<SubRequestId> backlog;
    };

    using Runs = std::map<SubRequestId, Running>;

    static BackendReply answerTo(const SubRequest &request, Errc code, Verdict verdict)
    {
        BackendReply reply;
        reply.reply.id = request.id;
        reply.reply.code = code;
        reply.reply.verdict = verdict;
        reply.reply.snapshot = request.snapshot;
        reply.reply.shard = request.shard;
        reply.reply.range = request.range;
        return reply;
    }

    static BackendReply refusalOf(const SubRequest &request, ModelServer::Mode mode)
    {
        if (mode == ModelServer::Mode::FailsAtOnce) {
            return answerTo(request, Errc::ConnectionLost, Verdict::MayHaveRun);
        }
        const bool draining = mode == ModelServer::Mode::Drains;
        BackendReply reply = answerTo(request, draining ? Errc::Draining : Errc::Unavailable, Verdict::NotRun);
        reply.draining = draining;
        return reply;
    }

    void start(Running &run)
    {
        run.started = true;
        ++states_[run.request.server].busy;
        if (onStart) {
            onStart(run.request);
        }
        const Duration serviceTime = serviceOf ? serviceOf(run.request) : servers[run.request.server].service;
        answerLater(run.request.id, serviceTime, answerTo(run.request, Errc::Ok, Verdict::Ran));
    }

    void answerLater(const SubRequestId &id, Duration after, const BackendReply &reply)
    {
        running_.at(id).timer = runtime_.schedule(after, [this, id, reply] {
            const auto run = running_.find(id);
            const Callback done = std::move(run->second.done);
            finish(run);
            done(reply);
        });
    }

    /// Frees the slot of a request and starts the next ones from the backlog.
    void finish(Runs::iterator run)
    {
        const ServerId server = run->second.request.server;
        const bool started = run->second.started;
        running_.erase(run);
        State &state = states_[server];
        state.busy -= started ? 1 : 0;
        while (started && !state.backlog.empty() && state.busy < servers[server].slots) {
            const auto next = running_.find(state.backlog.front());
            state.backlog.pop_front();
            if (next != running_.end()) {
                start(next->second);
            }
        }
    }

    Runtime &runtime_;
    Runs running_;
    std::map<ServerId, State> states_;
};

} // namespace Burdock
