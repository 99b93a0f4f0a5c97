#include "soakload.h"

#include <array>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr Duration RequestTimeout = std::chrono::milliseconds(3000);
constexpr Duration ClientTimeout = RequestTimeout + std::chrono::milliseconds(1000);
constexpr Duration RefreshInterval = std::chrono::milliseconds(1000);
constexpr Duration DirectoryTimeout = std::chrono::milliseconds(900);
/// The fraction of requests sent to a random instance, as clients with an outdated directory answer would.
constexpr double StaleFraction = 0.05;
/// The time between two requests of a workspace that sends many times its usual.
constexpr Duration HotInterval = std::chrono::milliseconds(10);
/// The request mix; each request draws one of these ten entries.
constexpr std::array<SoakRequestKind, 10> Mix{SoakRequestKind::Repeatable,
                                              SoakRequestKind::Repeatable,
                                              SoakRequestKind::Unrepeatable,
                                              SoakRequestKind::Unrepeatable,
                                              SoakRequestKind::Fanout,
                                              SoakRequestKind::Fanout,
                                              SoakRequestKind::Fanout,
                                              SoakRequestKind::Fanout,
                                              SoakRequestKind::Versioned,
                                              SoakRequestKind::Versioned};

} // namespace

SoakLoad::SoakLoad(SoakWorld &world, SoakChecks &checks, std::uint64_t seed, int requestsPerSecond)
    : world_(world)
    , checks_(checks)
    , random_(seed)
    , sendInterval_(Duration(std::chrono::seconds(1)) / requestsPerSecond)
{
    for (const std::string &instance : world.instances()) {
        instancesByAddress_[world.testbed().clients(instance).toString()] = instance;
        resolvedInstances_.push_back(instance);
    }
}

SoakLoad::~SoakLoad()
{
    stop();
}

void SoakLoad::start()
{
    refreshInstances();
    sendNext();
}

void SoakLoad::stop()
{
    world_.testbed().loop().cancel(std::exchange(sendTimer_, 0));
    world_.testbed().loop().cancel(std::exchange(refreshTimer_, 0));
    stopHot();
}

void SoakLoad::setStopping(const std::string &instance, bool stopping)
{
    if (!stopping) {
        stoppingInstances_.erase(instance);
        return;
    }
    stoppingInstances_.insert(instance);
    for (auto &[id, inFlight] : inFlight_) {
        inFlight.stopBeganInFlight = inFlight.stopBeganInFlight || inFlight.request.instance == instance;
    }
}

void SoakLoad::refreshInstances()
{
    const auto &instances = world_.instances();
    const std::string &instance = instances[random_() % instances.size()];
    HttpRequest httpRequest;
    httpRequest.address = world_.testbed().directory(instance);
    httpRequest.method = "GET";
    httpRequest.path = "/burdocklanding/resolve?name=shop.example&region=nowhere&zone=nowhere";
    httpRequest.timeout = DirectoryTimeout;
    world_.testbed().client().send(std::move(httpRequest), [this](const Result<HttpResponse> &answer) {
        if (answer && answer->status == 200) {
            onResolved(answer->body);
        }
    });
    refreshTimer_ = world_.testbed().loop().schedule(RefreshInterval, [this] { refreshInstances(); });
}

void SoakLoad::onResolved(const std::string &body)
{
    const Json answer = Json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return;
    }
    resolvedInstances_.clear();
    for (const Json &address : answer.value("addrs", Json::array())) {
        resolvedInstances_.push_back(instancesByAddress_.at(address.get<std::string>()));
    }
}

std::string SoakLoad::chooseInstance()
{
    const auto &all = world_.instances();
    const bool stale = resolvedInstances_.empty() || std::uniform_real_distribution<double>()(random_) < StaleFraction;
    const auto &from = stale ? all : resolvedInstances_;
    return from[random_() % from.size()];
}

void SoakLoad::startHot(std::string instance)
{
    stopHot();
    hotInstance_ = std::move(instance);
    sendHot();
}

void SoakLoad::stopHot()
{
    world_.testbed().loop().cancel(std::exchange(hotTimer_, 0));
}

void SoakLoad::sendHot()
{
    SoakRequest request;
    request.attempt = "t" + std::to_string(++lastId_);
    request.instance = hotInstance_.empty() ? chooseInstance() : hotInstance_;
    request.incarnation = world_.incarnation(request.instance);
    request.sentAt = world_.testbed().loop().now();
    request.instanceStopping = stoppingInstances_.count(request.instance) > 0;
    request.target = "/one/" + std::to_string(random_() % 1000);
    request.key = world_.workspaces().ratedKey();
    send(request);
    hotTimer_ = world_.testbed().loop().schedule(HotInterval, [this] { sendHot(); });
}

void SoakLoad::sendNext()
{
    SoakRequest request;
    request.kind = Mix[random_() % Mix.size()];
    request.attempt = "t" + std::to_string(++lastId_);
    request.instance = chooseInstance();
    request.incarnation = world_.incarnation(request.instance);
    request.sentAt = world_.testbed().loop().now();
    request.instanceStopping = stoppingInstances_.count(request.instance) > 0;
    request.version = world_.version() - static_cast<std::int64_t>(random_() % 3);
    constexpr std::array<const char *, 3> Prefixes{"/one/", "/once/", "/all/"};
    const std::string prefix =
        request.kind == SoakRequestKind::Versioned ? "/v" + std::to_string(request.version) + "/" : Prefixes[static_cast<std::size_t>(request.kind)];
    request.target = prefix + std::to_string(random_() % 1000);
    request.key = world_.workspaces().draw();
    checks_.noteCutOff(request);
    send(request);
    sendTimer_ = world_.testbed().loop().schedule(sendInterval_, [this] { sendNext(); });
}

void SoakLoad::send(const SoakRequest &request)
{
    const std::uint64_t id = lastId_;
    HttpRequest httpRequest;
    httpRequest.address = world_.testbed().clients(request.instance);
    httpRequest.method = request.kind == SoakRequestKind::Unrepeatable ? "POST" : "GET";
    httpRequest.path = request.target;
    httpRequest.headers = {
        {"host", "shop.example"}, {"Attempt-Id", request.attempt}, {"Timeout-Remaining", std::to_string(RequestTimeout / std::chrono::milliseconds(1))}};
    if (world_.hasWorkspaces()) {
        httpRequest.headers["Tenant"] = "forged";
        if (!request.key.text.empty()) {
            httpRequest.headers["Key"] = request.key.text;
        }
    }
    httpRequest.timeout = ClientTimeout;
    inFlight_[id] = OpenRequest{request, false};
    world_.testbed().client().send(std::move(httpRequest), [this, id](const Result<HttpResponse> &answer) {
        const auto node = inFlight_.extract(id);
        checks_.onRequestFinished(node.mapped().request, answer, node.mapped().stopBeganInFlight);
    });
}

} // namespace Burdock
