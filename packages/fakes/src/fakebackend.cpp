#include <burdock/fakes/fakebackend.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr double ServiceSpread = 0.2;
/// Search requests above this many are no longer recorded one by one.
constexpr std::size_t MostRecordedRequests = 2'000'000;
constexpr int OkStatus = 200;
constexpr int ConflictStatus = 409;
constexpr int ShedStatus = 429;
constexpr int ErrorStatus = 500;
constexpr int UnavailableStatus = 503;
constexpr int ExpiredStatus = 504;

std::string headerOf(const HttpServerRequest &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

} // namespace

/// One request on its way through the server.
struct FakeBackend::Job
{
    HttpServerRequest request;
    std::shared_ptr<FakeResponder> responder;
    std::string id;
    Json body;
    bool command = false;
    std::optional<TimePoint> deadline;
    TimerId timer = 0;
};

FakeBackend::FakeBackend(Runtime &runtime, const Indexes &indexes, FakeServerDeclaration declaration, std::uint64_t seed, Turn turn)
    : runtime_(runtime)
    , indexes_(indexes)
    , declaration_(std::move(declaration))
    , turn_(std::move(turn))
    , random_(seed)
{
}

FakeBackend::~FakeBackend()
{
    for (const JobPtr &job : timed_) {
        runtime_.cancel(job->timer);
    }
}

void FakeBackend::handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    const auto job = std::make_shared<Job>();
    job->request = request;
    job->responder = responder;
    job->id = headerOf(request, "x-request-id");
    job->command = request.path == "/execute";
    if (!responder->firstOfConnection() || declaration_.connectionCost == Duration{0}) {
        return arrive(job);
    }
    timed_.insert(job);
    job->timer = runtime_.schedule(declaration_.connectionCost, [this, job] {
        timed_.erase(job);
        turn_([this, job] { arrive(job); });
    });
}

void FakeBackend::arrive(const JobPtr &job)
{
    struct Route
    {
        const char *method;
        const char *path;
        void (FakeBackend::*serve)(const JobPtr &);
    };
    static const Route routes[] = {
        {"POST", "/search", &FakeBackend::serveSearch},
        {"POST", "/execute", &FakeBackend::serveExecute},
        {"POST", "/cancel", &FakeBackend::serveCancel},
        {"GET", "/health", &FakeBackend::serveHealth},
        {"GET", "/load", &FakeBackend::serveLoad},
    };
    const auto *const route =
        std::find_if(std::begin(routes), std::end(routes), [&](const Route &r) { return job->request.path == r.path && job->request.method == r.method; });
    if (route == std::end(routes)) {
        return refuse(job, 404, "not found");
    }
    try {
        if (!job->request.body.empty()) {
            job->body = Json::parse(job->request.body);
        }
        const std::string left = headerOf(job->request, "x-deadline-ms");
        if (!left.empty()) {
            job->deadline = runtime_.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(std::stod(left)));
        }
        (this->*(route->serve))(job);
    } catch (const std::exception &error) {
        refuse(job, 400, error.what());
    }
}

bool FakeBackend::refusedForDraining(const JobPtr &job)
{
    if (!conduct_.draining) {
        return false;
    }
    ++counters_.arrivedWhileDraining;
    counters_.lastArrivalWhileDraining = std::chrono::duration_cast<Duration>(runtime_.now() - drainingSince_);
    if (!conduct_.drainTold) {
        return false;
    }
    refuse(job, UnavailableStatus, "draining", true);
    return true;
}

bool FakeBackend::expired(const JobPtr &job) const
{
    return job->deadline && *job->deadline <= runtime_.now();
}

bool FakeBackend::holdsShard(const Job &job) const
{
    const FakeShard asked{IndexName(job.body.at("index").get<std::string>()),
                          ShardId(job.body.at("shard").get<std::string>()),
                          KeyRange{job.body.at("begin").get<std::uint64_t>(), job.body.at("end").get<std::uint64_t>()},
                          job.body.at("mapGeneration").get<std::uint64_t>()};
    return std::find(declaration_.shards.begin(), declaration_.shards.end(), asked) != declaration_.shards.end();
}

void FakeBackend::serveSearch(const JobPtr &job)
{
    if (refusedForDraining(job)) {
        return;
    }
    const IndexName index(job->body.at("index").get<std::string>());
    if (!holdsShard(*job) || indexes_.count(index) == 0) {
        return refuseContent(job, "wrongShard");
    }
    const auto window = versions_.find(index);
    if (window == versions_.end() || !window->second.holds(job->body.at("version").get<std::uint64_t>())) {
        return refuseContent(job, "wrongVersion");
    }
    enqueue(job);
}

void FakeBackend::serveExecute(const JobPtr &job)
{
    job->body.at("command").get<std::string>();
    job->body.at("key").get<std::string>();
    if (!refusedForDraining(job)) {
        enqueue(job);
    }
}

void FakeBackend::serveCancel(const JobPtr &job)
{
    const std::string id = job->body.at("requestId").get<std::string>();
    const auto queued = std::find_if(queue_.begin(), queue_.end(), [&](const JobPtr &waiting) { return waiting->id == id; });
    const auto running = running_.find(id);
    if (queued != queue_.end()) {
        const JobPtr cancelled = *queued;
        queue_.erase(queued);
        ++counters_.cancelled;
        refuse(cancelled, UnavailableStatus, "cancelled");
    } else if (running != running_.end() && !running->second->command) {
        const JobPtr cancelled = running->second;
        runtime_.cancel(cancelled->timer);
        timed_.erase(cancelled);
        running_.erase(running);
        --busy_;
        ++counters_.cancelled;
        cancelled->responder->respond(HttpServerResponse{ErrorStatus, {}, R"({"error":"cancelled"})"});
        startNext();
    }
    job->responder->respond(HttpServerResponse{OkStatus, {}, "{}"});
}

void FakeBackend::serveHealth(const JobPtr &job)
{
    const bool draining = conduct_.health == Claimed::Bad || (conduct_.health == Claimed::Truth && conduct_.draining && conduct_.drainTold);
    job->responder->respond(HttpServerResponse{OkStatus, {}, Json{{"status", draining ? "draining" : "ok"}}.dump()});
}

void FakeBackend::serveLoad(const JobPtr &job)
{
    Json body{{"busy", busy_}, {"slots", declaration_.slots}, {"waiting", queue_.size()}, {"versions", versionsJson()}};
    if (conduct_.load != Claimed::Truth) {
        body["busy"] = conduct_.load == Claimed::Good ? 0 : declaration_.slots;
        body["waiting"] = conduct_.load == Claimed::Good ? 0 : declaration_.queue;
    }
    job->responder->respond(HttpServerResponse{OkStatus, {}, body.dump()});
}

void FakeBackend::enqueue(const JobPtr &job)
{
    if (expired(job)) {
        ++counters_.expired;
        return refuse(job, ExpiredStatus, "deadline");
    }
    if (busy_ >= declaration_.slots && queue_.size() >= declaration_.queue) {
        ++counters_.shed;
        return refuse(job, ShedStatus, "shed");
    }
    queue_.push_back(job);
    startNext();
}

void FakeBackend::startNext()
{
    while (busy_ < declaration_.slots && !queue_.empty()) {
        const JobPtr job = queue_.front();
        queue_.pop_front();
        if (expired(job)) {
            ++counters_.expired;
            refuse(job, ExpiredStatus, "deadline");
        } else {
            start(job);
        }
    }
}

void FakeBackend::start(const JobPtr &job)
{
    ++busy_;
    counters_.mostBusy = std::max(counters_.mostBusy, busy_);
    ++(job->command ? counters_.commands : counters_.searches);
    if (job->command) {
        ++ranCommands_[job->body["command"].get<std::string>() + "/" + job->body["key"].get<std::string>()];
    }
    if (job->command || ranRequests_.size() < MostRecordedRequests) {
        ++ranRequests_[job->id];
    }
    running_[job->id] = job;
    timed_.insert(job);
    job->timer = runtime_.schedule(serviceTime(), [this, job] { turn_([this, job] { finish(job); }); });
}

void FakeBackend::finish(const JobPtr &job)
{
    timed_.erase(job);
    const auto running = running_.find(job->id);
    if (running != running_.end() && running->second == job) {
        running_.erase(running);
    }
    --busy_;
    Json body = job->command ? Json{{"requestId", job->id}, {"outcome", "done " + job->body["key"].get<std::string>()}} : searchBody(*job);
    answer(job, std::move(body));
    startNext();
}

Json FakeBackend::searchBody(const Job &job) const
{
    const IndexName index(job.body["index"].get<std::string>());
    std::uint64_t version = job.body["version"].get<std::uint64_t>();
    KeyRange range{job.body["begin"].get<std::uint64_t>(), job.body["end"].get<std::uint64_t>()};
    std::string shard = job.body["shard"].get<std::string>();
    const std::string query = job.body.at("query").get<std::string>();
    if (conduct_.wrongVersion) {
        ++version;
    }
    if (conduct_.wrongShard) {
        range = range.begin >= range.width() ? KeyRange{range.begin - range.width(), range.begin} : KeyRange{range.end, range.end + range.width()};
        shard += "-other";
    }
    const FakeIndex &content = indexes_.at(index);
    std::vector<Hit> hits = content.search(range, version, query, job.body.value("offset", 0U), job.body.at("limit").get<std::uint32_t>());
    hits.resize(hits.size() - std::min<std::size_t>(hits.size(), conduct_.shortBy));
    Json body{{"requestId", job.id},
              {"index", index.text()},
              {"version", version},
              {"mapGeneration", job.body["mapGeneration"]},
              {"shard", shard},
              {"begin", range.begin},
              {"end", range.end},
              {"total", content.total(range, version, query)},
              {"hits", Json::array()},
              {"versions", versionsJson()}};
    for (const Hit &hit : hits) {
        body["hits"].push_back(Json{{"id", hit.id}, {"score", hit.score}, {"body", hit.body}});
    }
    return body;
}

void FakeBackend::answer(const JobPtr &job, Json body)
{
    std::string text = body.dump();
    if (conduct_.crossed) {
        std::swap(text, lastBody_);
        if (text.empty()) {
            body["requestId"] = "another-request";
            text = body.dump();
        }
    } else {
        lastBody_ = text;
    }
    HttpServerResponse outgoing{OkStatus, {{"Content-Type", "application/json"}}, std::move(text)};
    if (conduct_.draining && conduct_.drainTold) {
        outgoing.headers["X-Draining"] = "1";
    }
    job->responder->respond(std::move(outgoing));
}

void FakeBackend::refuse(const JobPtr &job, int status, const char *error, bool draining)
{
    ++counters_.refused;
    HttpServerResponse outgoing{status, {{"Content-Type", "application/json"}, {"X-Not-Run", "1"}}, Json{{"error", error}}.dump()};
    if (draining) {
        outgoing.headers["X-Draining"] = "1";
    }
    job->responder->respond(std::move(outgoing));
}

void FakeBackend::refuseContent(const JobPtr &job, const char *error)
{
    ++counters_.refused;
    const Json body{{"error", error}, {"versions", versionsJson()}};
    job->responder->respond(HttpServerResponse{ConflictStatus, {{"Content-Type", "application/json"}}, body.dump()});
}

Json FakeBackend::versionsJson() const
{
    Json object = Json::object();
    for (const auto &version : versions_) {
        object[version.first.text()] = Json{{"oldest", version.second.oldest}, {"newest", version.second.newest}};
    }
    return object;
}

Duration FakeBackend::serviceTime()
{
    std::uniform_real_distribution<double> spread(1 - ServiceSpread, 1 + ServiceSpread);
    std::uniform_real_distribution<double> unit(0, 1);
    const double straggles = unit(random_) < declaration_.stragglerShare ? declaration_.stragglerFactor : 1.0;
    const double factor = spread(random_) * straggles * conduct_.slowFactor;
    return Duration{static_cast<Duration::rep>(static_cast<double>(declaration_.service.count()) * factor)};
}

void FakeBackend::setVersions(const IndexName &index, const VersionWindow &window)
{
    versions_[index] = window;
}

void FakeBackend::setShards(std::vector<FakeShard> shards)
{
    declaration_.shards = std::move(shards);
}

void FakeBackend::setConduct(const ConductFaults &conduct)
{
    if (conduct.draining && !conduct_.draining) {
        drainingSince_ = runtime_.now();
    }
    conduct_ = conduct;
}

} // namespace Burdock
