#include "nodescriptors.h"

#include <burdock/wire/factories.h>

#include <catch2/catch.hpp>

using namespace Burdock;
using namespace std::chrono_literals;

#ifndef __SANITIZE_ADDRESS__
// The sanitizers open a pipe to look at an object, and report it as broken without a descriptor.
TEST_CASE("A link that cannot connect for lack of a descriptor is lost at once", "[links][accept]")
{
    EventLoop loop;
    const auto links = makePeerLinks(loop, InstanceId("a"), 1);
    const auto peer = makePeerLinks(loop, InstanceId("b"), 1);
    std::vector<InstanceId> lost;
    links->setHandlers([](const InstanceId &, const PeerMessage &) {}, [&](const InstanceId &id) { lost.push_back(id); });
    links->setPeer(InstanceId("b"), peer->listen({"127.0.0.1", 0}).value());
    const NoDescriptors none;
    links->send(InstanceId("b"), CancelSubRequest{{InstanceId("x"), 1, 1}});
    CHECK(loop.runUntil([&] { return lost.size() == 1; }, 1s));
}
#endif
