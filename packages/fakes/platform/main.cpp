/// burdock-fake-platform: the users' platform and its servers in one process on loopback. For tests only.

#include <burdock/fakes/fakeplatform.h>
#include <burdock/values/optiontable.h>
#include <burdock/wire/eventloop.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace Burdock;

namespace
{

constexpr int ExitNoAddress = 1;
constexpr int ExitUsage = 2;

const OptionTable &optionTable()
{
    static const OptionTable table("burdock-fake-platform",
                                   "BURDOCK_FAKE_PLATFORM_",
                                   "burdock-fake-platform: the users' platform for tests. Prints `ready` and its addresses as JSON.",
                                   {{"store", "IP:PORT", "127.0.0.1:0", "The store; port 0 takes a free one."},
                                    {"control", "IP:PORT", "127.0.0.1:0", "Where tests steer the stand-ins."},
                                    {"help", "", "", "Prints this text."}});
    return table;
}

int run(const FakePlatform::Addresses &wanted)
{
    EventLoop loop;
    FakePlatform platform(loop, loop.base());
    const auto bound = platform.listen(wanted);
    if (!bound) {
        std::cerr << bound.error().message << '\n';
        return ExitNoAddress;
    }
    for (const int signal : {SIGINT, SIGTERM}) {
        loop.addSignalHandler(signal, [&loop] { loop.stop(); });
    }
    std::cout << "ready " << nlohmann::json{{"store", bound->store.toString()}, {"control", bound->control.toString()}}.dump() << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto values = optionTable().read(argc, argv);
    if (values && values->on("help")) {
        std::cout << optionTable().help();
        return 0;
    }
    const auto store = values ? Address::parse(values->text("store")) : Result<Address>(tl::make_unexpected(values.error()));
    const auto control = store ? Address::parse(values->text("control")) : store;
    if (!control) {
        std::cerr << control.error().message << '\n';
        return ExitUsage;
    }
    return run({*store, *control});
}
