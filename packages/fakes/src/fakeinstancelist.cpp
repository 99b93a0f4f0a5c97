#include <burdock/fakes/fakeinstancelist.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// Long polls wait at most this long, whatever they ask for.
constexpr std::int64_t LongestWaitMs = 60'000;

std::uint64_t queryNumber(const HttpServerRequest &request, const char *name)
{
    const auto found = request.query.find(name);
    return found == request.query.end() ? 0 : std::stoull(found->second);
}

template<class Entry>
void replace(std::vector<Entry> &entries, const Entry &entry)
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&](const Entry &e) { return e.id == entry.id; });
    if (found == entries.end()) {
        entries.push_back(entry);
    } else {
        *found = entry;
    }
}

template<class Entry, class Id>
void erase(std::vector<Entry> &entries, const Id &id)
{
    entries.erase(std::remove_if(entries.begin(), entries.end(), [&](const Entry &entry) { return entry.id == id; }), entries.end());
}

Address addressOf(const Json &object, const char *field)
{
    const auto address = Address::parse(object.at(field).get<std::string>());
    if (!address) {
        throw std::invalid_argument(address.error().message);
    }
    return *address;
}

} // namespace

Json listedInstanceJson(const ListedInstance &instance)
{
    return {{"id", instance.id.text()},
            {"region", instance.place.region.text()},
            {"dataCentre", instance.place.dataCentre.text()},
            {"callers", instance.callers.toString()},
            {"peers", instance.peers.toString()},
            {"leaving", instance.leaving}};
}

Json listedServerJson(const ListedServer &server)
{
    return {{"id", server.id.text()},
            {"fleet", server.fleet.text()},
            {"region", server.place.region.text()},
            {"dataCentre", server.place.dataCentre.text()},
            {"address", server.address.toString()},
            {"leaving", server.leaving}};
}

ListedInstance listedInstanceOf(const Json &object)
{
    ListedInstance instance;
    instance.id = InstanceId(object.at("id").get<std::string>());
    instance.place = Place{Region(object.at("region").get<std::string>()), DataCentre(object.at("dataCentre").get<std::string>())};
    instance.callers = addressOf(object, "callers");
    instance.peers = addressOf(object, "peers");
    instance.leaving = object.value("leaving", false);
    return instance;
}

FakeInstanceList::FakeInstanceList(Runtime &runtime)
    : runtime_(runtime)
{
    actual_.version = shown_.version = 1;
}

FakeInstanceList::~FakeInstanceList()
{
    for (const auto &waiting : waiting_) {
        runtime_.cancel(waiting.second.timer);
    }
}

void FakeInstanceList::handle(const HttpServerRequest &request, const std::shared_ptr<FakeResponder> &responder)
{
    if (request.path != "/v1/instances" || request.method != "GET") {
        return responder->respond(HttpServerResponse{404, {}, R"({"error":"not found"})"});
    }
    std::uint64_t after = 0;
    std::int64_t waitMs = 0;
    try {
        after = queryNumber(request, "after");
        waitMs = std::min(static_cast<std::int64_t>(queryNumber(request, "waitMs")), LongestWaitMs);
    } catch (const std::exception &) {
        return responder->respond(HttpServerResponse{400, {}, R"({"error":"not a number"})"});
    }
    if (shown_.version > after || waitMs <= 0) {
        return answer(responder);
    }
    const std::uint64_t id = ++lastWaiting_;
    const TimerId timer = runtime_.schedule(std::chrono::milliseconds(waitMs), [this, id] {
        const auto node = waiting_.extract(id);
        answer(node.mapped().responder);
    });
    waiting_[id] = Waiting{responder, timer};
    responder->setDisconnectHandler([this, id] {
        const auto node = waiting_.extract(id);
        if (!node.empty()) {
            runtime_.cancel(node.mapped().timer);
        }
    });
}

void FakeInstanceList::answer(const std::shared_ptr<FakeResponder> &responder) const
{
    Json body{{"version", shown_.version}, {"instances", Json::array()}, {"servers", Json::array()}};
    for (const ListedInstance &instance : shown_.instances) {
        body["instances"].push_back(listedInstanceJson(instance));
    }
    for (const ListedServer &server : shown_.servers) {
        body["servers"].push_back(listedServerJson(server));
    }
    responder->respond(HttpServerResponse{200, {{"Content-Type", "application/json"}}, body.dump()});
}

void FakeInstanceList::set(const ListedInstance &instance)
{
    replace(actual_.instances, instance);
    changed();
}

void FakeInstanceList::set(const ListedServer &server)
{
    replace(actual_.servers, server);
    changed();
}

void FakeInstanceList::remove(const InstanceId &instance)
{
    erase(actual_.instances, instance);
    changed();
}

void FakeInstanceList::remove(const ServerId &server)
{
    erase(actual_.servers, server);
    changed();
}

void FakeInstanceList::setLag(Duration lag)
{
    lag_ = lag;
}

void FakeInstanceList::changed()
{
    ++actual_.version;
    if (lag_ == Duration{0}) {
        return show(actual_);
    }
    runtime_.schedule(lag_, [this, list = actual_] { show(list); });
}

void FakeInstanceList::show(const InstanceList &list)
{
    if (list.version <= shown_.version) {
        return;
    }
    shown_ = list;
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto &entry : waiting) {
        runtime_.cancel(entry.second.timer);
        answer(entry.second.responder);
    }
}

} // namespace Burdock
