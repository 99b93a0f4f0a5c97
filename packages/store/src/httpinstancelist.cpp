#include "httpinstancelist.h"

#include <burdock/store/factories.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int OkStatus = 200;
constexpr std::chrono::milliseconds LongPollWait{20'000};
/// The time beyond the requested wait after which a poll has failed.
constexpr Duration PollGrace = std::chrono::seconds(5);
constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::seconds(5);
/// A replica of the list may be behind for a moment; a version that stays lower for this time is that of a restored list.
constexpr Duration RestoredAfter = std::chrono::seconds(3);
constexpr ConnectionLimits ListConnections{2, 1, std::size_t{16} << 20};

Address addressOf(const Json &object, const char *field)
{
    const auto address = Address::parse(object.at(field).get<std::string>());
    if (!address) {
        throw std::invalid_argument(address.error().message);
    }
    return *address;
}

Place placeOf(const Json &object)
{
    return {Region(object.at("region").get<std::string>()), DataCentre(object.at("dataCentre").get<std::string>())};
}

ListedInstance instanceOf(const Json &object)
{
    return {InstanceId(object.at("id").get<std::string>()),
            placeOf(object),
            addressOf(object, "callers"),
            addressOf(object, "peers"),
            object.value("leaving", false)};
}

ListedServer serverOf(const Json &object)
{
    return {ServerId(object.at("id").get<std::string>()),
            FleetName(object.at("fleet").get<std::string>()),
            placeOf(object),
            addressOf(object, "address"),
            object.value("leaving", false)};
}

} // namespace

Result<InstanceList> parseInstanceList(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        InstanceList list;
        list.version = json.at("version").get<std::uint64_t>();
        for (const Json &object : json.at("instances")) {
            list.instances.push_back(instanceOf(object));
        }
        for (const Json &object : json.at("servers")) {
            list.servers.push_back(serverOf(object));
        }
        return list;
    } catch (const std::exception &error) {
        return notRun(Errc::BadRequest, std::string("the instance list is malformed: ") + error.what());
    }
}

HttpInstanceList::HttpInstanceList(Runtime &runtime, HttpClient &client, const Address &address)
    : runtime_(runtime)
    , client_(client)
    , address_(address)
    , random_(std::random_device{}())
{
    client_.setLimits(address_, ListConnections);
}

HttpInstanceList::~HttpInstanceList()
{
    stop();
}

void HttpInstanceList::follow(std::function<void(const InstanceList &)> onChanged)
{
    stop();
    onChanged_ = std::move(onChanged);
    version_ = 0;
    failures_ = 0;
    hasList_ = false;
    poll();
}

void HttpInstanceList::stop()
{
    client_.cancel(call_);
    runtime_.cancel(timer_);
    onChanged_ = nullptr;
}

void HttpInstanceList::poll()
{
    const auto wait = hasList_ ? LongPollWait : std::chrono::milliseconds(0);
    pollStart_ = runtime_.now();
    HttpRequest request;
    request.address = address_;
    request.method = "GET";
    request.path = "/v1/instances?after=" + std::to_string(version_) + "&waitMs=" + std::to_string(wait.count());
    request.timeout = wait + PollGrace;
    call_ = client_.send(std::move(request), [this](const Result<HttpResponse> &response) { onResponse(response); });
}

bool HttpInstanceList::wentBack(std::uint64_t version)
{
    if (!hasList_ || version >= version_) {
        olderSince_.reset();
        return false;
    }
    olderSince_ = olderSince_.value_or(runtime_.now());
    return runtime_.now() - *olderSince_ >= RestoredAfter;
}

void HttpInstanceList::onResponse(const Result<HttpResponse> &response)
{
    const auto list = response && response->status == OkStatus ? parseInstanceList(response->body) : notRun(Errc::Unavailable, "no list");
    if (!list) {
        ++failures_;
        return pollLater();
    }
    const bool isNewer = !hasList_ || list->version > version_ || wentBack(list->version);
    const bool returnedEarly = runtime_.now() - pollStart_ < LongPollWait / 2;
    failures_ = isNewer || !returnedEarly ? 0 : failures_ + 1;
    if (!isNewer) {
        return failures_ > 0 ? pollLater() : poll();
    }
    hasList_ = true;
    olderSince_.reset();
    version_ = list->version;
    poll();
    const auto onChanged = onChanged_;
    onChanged(*list);
}

void HttpInstanceList::pollLater()
{
    const std::uint32_t doublings = std::min(failures_ - 1, 10U);
    const Duration maxDelay = std::min(MaxBackoff, InitialBackoff * (1 << doublings));
    std::uniform_int_distribution<Duration::rep> jitter(maxDelay.count() / 2, maxDelay.count());
    timer_ = runtime_.schedule(Duration{jitter(random_)}, [this] { poll(); });
}

std::unique_ptr<InstanceListSource> makeHttpInstanceList(Runtime &runtime, HttpClient &client, const Address &address)
{
    return std::make_unique<HttpInstanceList>(runtime, client, address);
}

} // namespace Burdock
