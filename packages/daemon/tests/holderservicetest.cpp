#include "recordinglinks.h"

#include <burdock/daemon/holderservice.h>
#include <burdock/values/manualruntime.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

/// A backend that never replies.
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

TEST_CASE("A change of a server's draining state is sent to all instances, any of which may be its next holder", "[holderservice][leaving]")
{
    Fixture fixture;
    fixture.service.subscribe(InstanceId("a"));
    fixture.service.publish(reportOf(false));
    CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a")});
    fixture.links.sent.clear();
    fixture.service.publish(reportOf(true));
    CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a"), InstanceId("b"), InstanceId("c")});
    SECTION("a repeated draining report goes only to subscribers")
    {
        fixture.links.sent.clear();
        fixture.service.publish(reportOf(true));
        CHECK(fixture.recipients() == std::vector<InstanceId>{InstanceId("a")});
    }
    SECTION("the end of draining is sent to all instances")
    {
        fixture.links.sent.clear();
        fixture.service.publish(reportOf(false));
        CHECK(fixture.recipients().size() == 3);
    }
}
