#include <burdock/fakes/fakeroutedserver.h>

#include <algorithm>
#include <array>
#include <cstdio>
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
constexpr std::size_t MostComplaints = 20;
constexpr std::size_t MostArrivals = 200000;
constexpr double WorkSpread = 0.3;

std::string headerOf(const HttpServerRequest &request, const char *name)
{
    const auto found = request.headers.find(name);
    return found == request.headers.end() ? std::string() : found->second;
}

} // namespace

std::vector<std::string> shardRecords(const std::string &service, const std::string &target, std::size_t count)
{
    std::vector<std::string> records;
    for (std::size_t place = 0; place < count; ++place) {
        std::string seed = service;
        seed.append("|").append(target).append("|").append(std::to_string(place));
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
    ++arrived_;
    const auto refuse = [&responder, this](int status) {
        responder->respond(HttpServerResponse{status, {{"Not-Executed", "1"}, {"Instance-Id", declaration_.id}}, "{}", true});
    };
    const std::string target = headerOf(request, "target-instance");
    const std::string attempt = headerOf(request, "attempt-id");
    if ((target.empty() || attempt.empty() || headerOf(request, "timeout-remaining").empty()) && complaints_.size() < MostComplaints) {
        complaints_.push_back("a request without id, target or time left: " + request.method + " " + request.path);
    }
    arrivals_.push_back({runtime_.now(), attempt});
    if (arrivals_.size() > MostArrivals) {
        arrivals_.pop_front();
    }
    if (conduct_.replaced || (!target.empty() && target != declaration_.id)) {
        return refuse(MisdirectedStatus);
    }
    if (conduct_.full || queue_.size() >= declaration_.queue) {
        return refuse(UnavailableStatus);
    }
    const auto job = std::make_shared<Job>(Job{request, responder, attempt, false, 0});
    responder->setDisconnectHandler([this, job] { answerDone(job); });
    queue_.push_back(job);
    startNext();
}

void FakeRoutedServer::setConduct(const FakeRoutedServerConduct &conduct)
{
    conduct_ = conduct;
    startNext();
}

Duration FakeRoutedServer::workTime()
{
    std::uniform_real_distribution<double> spread(1 - WorkSpread, 1 + WorkSpread);
    return Duration(static_cast<Duration::rep>(static_cast<double>(declaration_.work.count()) * spread(random_) * conduct_.slowFactor));
}

void FakeRoutedServer::startNext()
{
    while (!conduct_.paused && !queue_.empty() && running_.size() < declaration_.slots) {
        const JobPtr job = queue_.front();
        queue_.pop_front();
        if (job->gone) {
            continue;
        }
        running_.insert(job);
        ++ran_[job->attempt];
        job->timer = runtime_.schedule(workTime(), [this, job] { finish(job); });
    }
}

/// Its client is gone, or it was answered.
void FakeRoutedServer::answerDone(const JobPtr &job)
{
    job->gone = true;
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
    if (std::uniform_real_distribution<double>()(random_) < conduct_.failing) {
        out.status = ErrorStatus;
        out.body = "failed";
    } else if (declaration_.records > 0) {
        for (const std::string &record : shardRecords(declaration_.service, job->request.target, declaration_.records)) {
            out.body += record;
        }
    } else {
        out.body = declaration_.service + " " + job->request.method + " " + job->request.target + " " + job->request.body;
    }
    out.jsonByDefault = false;
    running_.erase(job);
    job->gone = true;
    if (conduct_.lateAnswers && earlier_) {
        job->responder->precede(*earlier_);
    }
    earlier_ = out;
    job->responder->respond(std::move(out), conduct_.strayAnswers ? Delivery::Doubled : Delivery::Whole);
    startNext();
}

} // namespace Burdock
