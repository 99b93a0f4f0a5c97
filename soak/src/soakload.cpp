#include "soakload.h"

#include <array>
#include <utility>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr Duration Patience = std::chrono::milliseconds(3000);
constexpr Duration ClientTimeout = Patience + std::chrono::milliseconds(1000);
constexpr Duration RefreshEvery = std::chrono::milliseconds(1000);
constexpr Duration DirectoryTimeout = std::chrono::milliseconds(900);
/// The part of clients that still use an older answer.
constexpr double StalePart = 0.05;
/// Of ten requests so many are of each kind.
constexpr std::array<AskedKind, 10> Mix{AskedKind::One,
                                        AskedKind::One,
                                        AskedKind::Once,
                                        AskedKind::Once,
                                        AskedKind::All,
                                        AskedKind::All,
                                        AskedKind::All,
                                        AskedKind::All,
                                        AskedKind::Versioned,
                                        AskedKind::Versioned};

} // namespace

SoakLoad::SoakLoad(SoakWorld &world, SoakChecks &checks, std::uint64_t seed, int requestsPerSecond)
    : world_(world)
    , checks_(checks)
    , random_(seed)
    , pause_(Duration(std::chrono::seconds(1)) / requestsPerSecond)
{
    for (const std::string &instance : world.instances()) {
        names_[world.bed().clients(instance).toString()] = instance;
        usable_.push_back(instance);
    }
}

SoakLoad::~SoakLoad()
{
    stop();
}

void SoakLoad::start()
{
    refresh();
    sendNext();
}

void SoakLoad::stop()
{
    world_.bed().loop().cancel(std::exchange(sendTimer_, 0));
    world_.bed().loop().cancel(std::exchange(refreshTimer_, 0));
}

void SoakLoad::setStopping(const std::string &instance, bool stopping)
{
    if (!stopping) {
        stopping_.erase(instance);
        return;
    }
    stopping_.insert(instance);
    for (auto &[id, open] : open_) {
        open.stoppedMeanwhile = open.stoppedMeanwhile || open.asked.instance == instance;
    }
}

void SoakLoad::refresh()
{
    const auto &instances = world_.instances();
    const std::string &asked = instances[random_() % instances.size()];
    HttpRequest request;
    request.address = world_.bed().directory(asked);
    request.method = "GET";
    request.path = "/burdocklanding/resolve?name=shop.example&region=nowhere&zone=nowhere";
    request.timeout = DirectoryTimeout;
    world_.bed().client().send(std::move(request), [this](const Result<HttpResponse> &answer) {
        if (answer && answer->status == 200) {
            told(answer->body);
        }
    });
    refreshTimer_ = world_.bed().loop().schedule(RefreshEvery, [this] { refresh(); });
}

void SoakLoad::told(const std::string &body)
{
    const Json answer = Json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return;
    }
    usable_.clear();
    for (const Json &address : answer.value("addrs", Json::array())) {
        usable_.push_back(names_.at(address.get<std::string>()));
    }
}

std::string SoakLoad::chooseInstance()
{
    const auto &all = world_.instances();
    const bool stale = usable_.empty() || std::uniform_real_distribution<double>()(random_) < StalePart;
    const auto &from = stale ? all : usable_;
    return from[random_() % from.size()];
}

void SoakLoad::sendNext()
{
    Asked asked;
    asked.kind = Mix[random_() % Mix.size()];
    asked.attempt = "t" + std::to_string(++last_);
    asked.instance = chooseInstance();
    asked.life = world_.life(asked.instance);
    asked.sentAt = world_.bed().loop().now();
    asked.stopping = stopping_.count(asked.instance) > 0;
    asked.version = world_.version() - static_cast<std::int64_t>(random_() % 3);
    constexpr std::array<const char *, 3> Prefixes{"/one/", "/once/", "/all/"};
    const std::string prefix = asked.kind == AskedKind::Versioned ? "/v" + std::to_string(asked.version) + "/" : Prefixes[static_cast<std::size_t>(asked.kind)];
    asked.target = prefix + std::to_string(random_() % 1000);
    send(asked);
    sendTimer_ = world_.bed().loop().schedule(pause_, [this] { sendNext(); });
}

void SoakLoad::send(const Asked &asked)
{
    const std::uint64_t id = last_;
    HttpRequest request;
    request.address = world_.bed().clients(asked.instance);
    request.method = asked.kind == AskedKind::Once ? "POST" : "GET";
    request.path = asked.target;
    request.headers = {{"host", "shop.example"}, {"Attempt-Id", asked.attempt}, {"Timeout-Remaining", std::to_string(Patience / std::chrono::milliseconds(1))}};
    request.timeout = ClientTimeout;
    open_[id] = Open{asked, false};
    world_.bed().client().send(std::move(request), [this, id](const Result<HttpResponse> &answer) {
        const auto node = open_.extract(id);
        checks_.answered(node.mapped().asked, answer, node.mapped().stoppedMeanwhile);
    });
}

} // namespace Burdock
