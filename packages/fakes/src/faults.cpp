#include <burdock/fakes/faults.h>

#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

template<class T>
T oneOf(const Json &value, std::initializer_list<std::pair<const char *, T>> names)
{
    for (const auto &name : names) {
        if (value.get<std::string>() == name.first) {
            return name.second;
        }
    }
    throw std::invalid_argument("unknown value " + value.dump());
}

Duration milliseconds(const Json &value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(value.get<double>()));
}

Delivery delivery(const Json &value)
{
    return oneOf<Delivery>(value,
                           {{"whole", Delivery::Whole},
                            {"dropped", Delivery::Dropped},
                            {"truncated", Delivery::Truncated},
                            {"split", Delivery::Split},
                            {"doubled", Delivery::Doubled}});
}

Outage outage(const Json &value)
{
    return oneOf<Outage>(value, {{"none", Outage::None}, {"refuse", Outage::Refuse}, {"hang", Outage::Hang}});
}

SelfReport selfReport(const Json &value)
{
    return oneOf<SelfReport>(value, {{"truth", SelfReport::Truth}, {"good", SelfReport::Good}, {"bad", SelfReport::Bad}});
}

template<class Faults>
struct Setter
{
    const char *name;
    void (*set)(Faults &, const Json &);
};

const Setter<TransportFaults> TransportSetters[] = {
    {"delayMs", [](TransportFaults &f, const Json &v) { f.delay = milliseconds(v); }},
    {"replyDelayMs", [](TransportFaults &f, const Json &v) { f.replyDelay = milliseconds(v); }},
    {"outage", [](TransportFaults &f, const Json &v) { f.outage = outage(v); }},
    {"frozen", [](TransportFaults &f, const Json &v) { f.frozen = v.get<bool>(); }},
    {"error", [](TransportFaults &f, const Json &v) { f.error = v.get<int>(); }},
    {"delivery", [](TransportFaults &f, const Json &v) { f.delivery = delivery(v); }},
    {"path", [](TransportFaults &f, const Json &v) { f.path = v.get<std::string>(); }},
    {"every", [](TransportFaults &f, const Json &v) { f.every = std::max(1U, v.get<std::uint32_t>()); }},
    {"times", [](TransportFaults &f, const Json &v) { f.times = v.get<std::int64_t>(); }},
};

const Setter<BehaviourFaults> BehaviourSetters[] = {
    {"health", [](BehaviourFaults &f, const Json &v) { f.health = selfReport(v); }},
    {"load", [](BehaviourFaults &f, const Json &v) { f.load = selfReport(v); }},
    {"draining", [](BehaviourFaults &f, const Json &v) { f.draining = v.get<bool>(); }},
    {"drainTold", [](BehaviourFaults &f, const Json &v) { f.announceDraining = v.get<bool>(); }},
    {"wrongVersion", [](BehaviourFaults &f, const Json &v) { f.wrongVersion = v.get<bool>(); }},
    {"wrongShard", [](BehaviourFaults &f, const Json &v) { f.wrongShard = v.get<bool>(); }},
    {"shortBy", [](BehaviourFaults &f, const Json &v) { f.omittedHits = v.get<std::uint32_t>(); }},
    {"crossed", [](BehaviourFaults &f, const Json &v) { f.repeatPreviousBody = v.get<bool>(); }},
    {"slowFactor", [](BehaviourFaults &f, const Json &v) { f.slowFactor = v.get<double>(); }},
};

template<class Faults, std::size_t N>
Result<Faults> change(Faults faults, const Json &object, const Setter<Faults> (&setters)[N])
{
    if (!object.is_object()) {
        return notRun(Errc::BadRequest, "faults must be an object");
    }
    for (const auto &field : object.items()) {
        const auto *const setter = std::find_if(std::begin(setters), std::end(setters), [&](const auto &s) { return field.key() == s.name; });
        if (setter == std::end(setters)) {
            return notRun(Errc::BadRequest, "unknown fault " + field.key());
        }
        try {
            setter->set(faults, field.value());
        } catch (const std::exception &error) {
            return notRun(Errc::BadRequest, field.key() + ": " + error.what());
        }
    }
    return faults;
}

} // namespace

Result<TransportFaults> changeFaults(TransportFaults faults, const Json &object)
{
    return change(std::move(faults), object, TransportSetters);
}

Result<BehaviourFaults> changeFaults(BehaviourFaults faults, const Json &object)
{
    return change(faults, object, BehaviourSetters);
}

} // namespace Burdock
