#include <burdock/daemon/statuspage.h>
#include <burdock/wire/json.h>

#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

std::string stateName(const Member &member)
{
    if (member.state != MemberState::Alive) {
        return member.state == MemberState::Dead ? "dead" : "suspect";
    }
    if (member.instance.leaving || member.life == MemberLife::Leaving) {
        return "leaving";
    }
    return member.life == MemberLife::Ready ? "ready" : "starting";
}

} // namespace

MemberStatus statusOf(const Member &member)
{
    return MemberStatus{member.instance.id, stateName(member), member.configVersion};
}

std::string writeStatus(const InstanceStatus &status)
{
    using nlohmann::json;
    json members = json::array();
    for (const MemberStatus &member : status.members) {
        members.push_back({{"id", member.id.text()}, {"state", member.state}, {"configurationVersion", member.configurationVersion}});
    }
    json holds = json::array();
    for (const ServerId &server : status.holds) {
        holds.push_back(server.text());
    }
    const json page{{"instance", status.self.id.text()},
                    {"region", status.self.place.region.text()},
                    {"dataCentre", status.self.place.dataCentre.text()},
                    {"incarnation", status.incarnation},
                    {"life", status.life},
                    {"configuration", json::parse(status.configuration)},
                    {"members", std::move(members)},
                    {"holds", std::move(holds)},
                    {"requestsInFlight", status.requestsInFlight}};
    return writeJson(page);
}

} // namespace Burdock
