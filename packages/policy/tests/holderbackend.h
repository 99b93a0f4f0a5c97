#pragma once

#include <burdock/policy/backendport.h>
#include <burdock/values/runtime.h>

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace Burdock
{

/// How a modelled backend server behaves.
struct ModelServer
{
    enum class Mode {
        Answers,
        FailsAtOnce,
        Silent,
        Drains,
    };

    Mode mode = Mode::Answers;
    /// How long a request holds one of the server's slots.
    Duration service = std::chrono::milliseconds(10);
    /// Requests above this many at a time are shed.
    std::uint32_t slots = 1000;
};

/// One request as a modelled server got it.
struct ModelDispatch
{
    SubRequest request;
    TimePoint at;
};

/// Backend servers on the manual clock, with a service time each.
class ModelBackend final : public BackendPort
{
public:
    explicit ModelBackend(Runtime &runtime)
        : runtime_(runtime)
    {
    }

    void dispatch(const SubRequest &request, Duration budget, Callback done) override
    {
        dispatches.push_back({request, runtime_.now()});
        lastBudget = budget;
        ModelServer &server = servers[request.server];
        Running run{std::move(done), request.server, 0};
        const bool shed = busy(request.server) >= server.slots;
        const auto reply = replyOf(request, server, shed);
        if (server.mode != ModelServer::Mode::Silent) {
            const Duration took = shed || server.mode != ModelServer::Mode::Answers ? RefusalTime : serviceOf ? serviceOf(request) : server.service;
            run.timer = runtime_.schedule(took, [this, id = request.id, reply] { answer(id, reply); });
        }
        running_.emplace(request.id, std::move(run));
    }

    void cancel(const SubRequestId &id) override
    {
        ++cancelled;
        const auto run = running_.find(id);
        if (run != running_.end()) {
            runtime_.cancel(run->second.timer);
            running_.erase(run);
        }
    }

    std::uint32_t busy(const ServerId &server) const
    {
        return static_cast<std::uint32_t>(std::count_if(running_.begin(), running_.end(), [&](const auto &run) { return run.second.server == server; }));
    }

    std::map<ServerId, ModelServer> servers;
    /// Where set, gives each request its own service time.
    std::function<Duration(const SubRequest &)> serviceOf;
    std::vector<ModelDispatch> dispatches;
    std::uint32_t cancelled = 0;
    Duration lastBudget{0};

private:
    static constexpr Duration RefusalTime = std::chrono::microseconds(200);

    struct Running
    {
        Callback done;
        ServerId server;
        TimerId timer;
    };

    static BackendReply replyOf(const SubRequest &request, const ModelServer &server, bool shed)
    {
        BackendReply reply;
        reply.reply.id = request.id;
        reply.shed = shed;
        if (shed || server.mode == ModelServer::Mode::Drains) {
            reply.draining = server.mode == ModelServer::Mode::Drains;
            reply.reply.code = shed ? Errc::Overloaded : Errc::Draining;
            reply.reply.verdict = Verdict::NotRun;
        } else if (server.mode == ModelServer::Mode::FailsAtOnce) {
            reply.reply.code = Errc::ConnectionLost;
            reply.reply.verdict = Verdict::MayHaveRun;
        }
        return reply;
    }

    void answer(const SubRequestId &id, const BackendReply &reply)
    {
        const auto run = running_.find(id);
        const Callback done = std::move(run->second.done);
        running_.erase(run);
        done(reply);
    }

    Runtime &runtime_;
    std::map<SubRequestId, Running> running_;
};

} // namespace Burdock
