#include <burdock/fakes/fakeroutedserver.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <limits>
#include <utility>
#include <xxhash.h>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr int MisdirectedStatus = 421;
constexpr int ErrorStatus = 500;
constexpr int UnavailableStatus = 503;
constexpr std::size_t MaxProtocolErrors = 20;
constexpr std::size_t MaxArrivals = 200000;
constexpr double WorkSpread = 0.3;
/// The users' rule for a limit: from the notice on, a window's requests are at most this multiple of the limit, plus some.
constexpr Duration LimitNotice = std::chrono::seconds(5);
constexpr Duration LimitWindow = std::chrono::seconds(4);
constexpr double LimitMultiple = 1.5;
constexpr double LimitExtra = 5;

std::string headerOf(const HttpServerRequest &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

} // namespace

std::vector<std::string> shardRecords(const std::string &service, const std::string &target, std::size_t count)
{
    std::vector<std::string> records;
    for (std::size_t index = 0; index < count; ++index) {
        std::string seed = service;
        seed.append("|").append(target).append("|").append(std::to_string(index));
        std::array<char, 17> text{};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(seed.data(), seed.size())));
        records.emplace_back(text.data());
    }
    return records;
}

FakeRoutedServer::FakeRoutedServer(Runtime &runtime, FakeRoutedServerDeclaration declaration, std::uint64_t seed)
    : runtime_(runtime)
    , declaration_(std::move(declaration))
    , random_(seed)
{
}

FakeRoutedServer::~FakeRoutedServer()
{
    for (const JobPtr &job : running_) {
        runtime_.cancel(job->timer);
    }
}

void FakeRoutedServer::handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    if (request.path == HealthPath) {
        waitingHealth_.push_back(responder);
        answerHealth();
        return;
    }
    ++arrived_;
    const std::string target = headerOf(request, "target-instance");
    const std::string attempt = headerOf(request, "attempt-id");
    const auto refusal = [&attempt, this](int status) {
        return HttpServerResponse{status, {{"Attempt-Id", attempt}, {"Not-Executed", "1"}, {"Instance-Id", declaration_.id}}, "{}", true};
    };
    const auto refuse = [&](int status) { responder->respond(completed(refusal(status))); };
    if ((target.empty() || attempt.empty() || headerOf(request, "timeout-remaining").empty()) && protocolErrors_.size() < MaxProtocolErrors) {
        protocolErrors_.push_back("a request without id, target or time left: " + request.method + " " + request.path);
    }
    if (request.headers.count("key") > 0 && protocolErrors_.size() < MaxProtocolErrors) {
        protocolErrors_.push_back("a request with a client's key: " + request.method + " " + request.path);
    }
    arrivals_.push_back({runtime_.now(), attempt});
    if (arrivals_.size() > MaxArrivals) {
        arrivals_.pop_front();
    }
    if (behaviour_.replaced || (!target.empty() && target != declaration_.id)) {
        return refuse(MisdirectedStatus);
    }
    if (behaviour_.pause) {
        HttpServerResponse response = refusal(UnavailableStatus);
        response.headers["Retry-After"] = std::to_string(*behaviour_.pause);
        responder->respond(completed(std::move(response)));
        return;
    }
    if (behaviour_.full || queue_.size() >= declaration_.queue) {
        return refuse(UnavailableStatus);
    }
    const auto job = std::make_shared<Job>(Job{request, responder, attempt, false, 0});
    responder->setDisconnectHandler([this, job] { abandon(job); });
    queue_.push_back(job);
    startNext();
}

void FakeRoutedServer::setBehaviour(const FakeRoutedServerBehaviour &behaviour)
{
    if (behaviour_.limit != behaviour.limit) {
        earlierExcess_ = worstLimitExcess();
        limitedSince_ = runtime_.now();
    }
    behaviour_ = behaviour;
    answerHealth();
    startNext();
}

void FakeRoutedServer::answerHealth()
{
    if (behaviour_.paused) {
        return;
    }
    const int status = behaviour_.replaced ? MisdirectedStatus : behaviour_.full || behaviour_.leaving ? UnavailableStatus : OkStatus;
    for (const auto &responder : std::exchange(waitingHealth_, {})) {
        responder->respond(completed(HttpServerResponse{status, {{"Instance-Id", declaration_.id}}, "{}", true}));
    }
}

HttpServerResponse FakeRoutedServer::completed(HttpServerResponse response) const
{
    if (behaviour_.limit) {
        response.headers["Server-Limit"] = std::to_string(*behaviour_.limit);
    }
    if (behaviour_.leaving) {
        response.headers["Server-Leaving"] = "1";
    }
    return response;
}

double FakeRoutedServer::worstLimitExcess() const
{
    double worst = earlierExcess_.value_or(-std::numeric_limits<double>::max());
    if (!behaviour_.limit) {
        return worst;
    }
    const double allowed = LimitMultiple * *behaviour_.limit * std::chrono::duration<double>(LimitWindow).count() + LimitExtra;
    const TimePoint from = limitedSince_ + LimitNotice;
    auto first = std::find_if(arrivals_.begin(), arrivals_.end(), [from](const Arrival &arrival) { return arrival.at >= from; });
    for (auto last = first; last != arrivals_.end(); ++last) {
        while (last->at - first->at > LimitWindow) {
            ++first;
        }
        worst = std::max(worst, static_cast<double>(std::distance(first, last) + 1) - allowed);
    }
    return worst;
}

Duration FakeRoutedServer::workTime()
{
    std::uniform_real_distribution<double> spread(1 - WorkSpread, 1 + WorkSpread);
    return Duration(static_cast<Duration::rep>(static_cast<double>(declaration_.work.count()) * spread(random_) * behaviour_.slowFactor));
}

void FakeRoutedServer::startNext()
{
    while (!behaviour_.paused && !queue_.empty() && running_.size() < declaration_.slots) {
        const JobPtr job = queue_.front();
        queue_.pop_front();
        if (job->done) {
            continue;
        }
        running_.insert(job);
        ++executions_[job->attempt];
        workspaces_[job->attempt].insert(headerOf(job->request, "tenant"));
        job->timer = runtime_.schedule(workTime(), [this, job] {
            const std::string &target = job->request.target;
            target.find(DeadlyWord) == std::string::npos ? finish(job) : crash(target);
        });
    }
}

void FakeRoutedServer::crash(const std::string &target)
{
    ++crashes_[target];
    for (const JobPtr &job : std::exchange(running_, {})) {
        runtime_.cancel(job->timer);
        job->done = true;
    }
    for (const JobPtr &job : std::exchange(queue_, {})) {
        job->done = true;
    }
    onCrash_();
}

/// Marks a job as done after its client disconnected; cancels its work and frees its slot.
void FakeRoutedServer::abandon(const JobPtr &job)
{
    job->done = true;
    if (running_.erase(job) > 0) {
        runtime_.cancel(job->timer);
        startNext();
    }
}

void FakeRoutedServer::finish(const JobPtr &job)
{
    const std::string signature = declaration_.service + "/" + declaration_.id + "/" + job->attempt + "/" + std::to_string(++answers_);
    HttpServerResponse out;
    out.headers = {{"Attempt-Id", job->attempt}, {"Response-Stamp", signature}};
    if (std::uniform_real_distribution<double>()(random_) < behaviour_.failureRate) {
        out.status = ErrorStatus;
        out.body = "failed";
    } else if (declaration_.records > 0) {
        for (const std::string &record : shardRecords(declaration_.service, job->request.target, declaration_.records)) {
            out.body += record;
        }
    } else {
        out.body = declaration_.service + " " + job->request.method + " " + job->request.target + " " + job->request.body.text();
    }
    out.jsonByDefault = false;
    out = completed(std::move(out));
    running_.erase(job);
    job->done = true;
    if (behaviour_.reorderedAnswers && previousAnswer_) {
        job->responder->sendStray(*previousAnswer_);
    }
    previousAnswer_ = out;
    job->responder->respond(std::move(out), behaviour_.strayAnswers ? Delivery::Doubled : Delivery::Whole);
    startNext();
}

} // namespace Burdock
