#include "recordinglinks.h"

#include <burdock/daemon/holderservice.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

/// Nothing is dispatched here.
class IdleBackend final : public BackendPort
{
public:
    void dispatch(const SubRequest &, Duration, Callback) override
    {
    }
    void cancel(const SubRequestId &) override
    {
    }
};

ServerReport reportOf(bool draining)
{
    ServerReport report;
    report.server = ServerId("parts-1");
    report.draining = draining;
    return report;
}

struct Fixture
{
    std::vector<InstanceId> recipients() const
    {
        std::vector<InstanceId> peers;
        for (const auto &[peer, message] : links.sent) {
            peers.push_back(peer);
        }
        return peers;
    }

    ManualRuntime runtime;
    RecordingLinks links;
    IdleBackend backend;
    Holder holder{runtime, backend};
    HolderService service{links, holder, [] { return std::vector<InstanceId>{InstanceId("a"), InstanceId("b"), InstanceId("c")}; }};
};

} // namespace

TEST_CASE("That a server is leaving is told to all instances, any of which may be its holder next", "[holderservice][leaving]")
{
    Fixture fixture;
    fixture.service.subscribe(InstanceId("a"));
    fixture.service.publish(reportOf(false));
    CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a")});
    fixture.links.sent.clear();
    fixture.service.publish(reportOf(true));
    CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a"), InstanceId("b"), InstanceId("c")});
    SECTION("once")
    {
        fixture.links.sent.clear();
        fixture.service.publish(reportOf(true));
        CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a")});
    }
    SECTION("and so is that it stays")
    {
        fixture.links.sent.clear();
        fixture.service.publish(reportOf(false));
        CHECK(fixture.recipients().size() == 3);
    }
}
