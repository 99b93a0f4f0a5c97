/// burdock-fakes: stand-ins for the platform and for backend servers, in one process on loopback. For tests only.

#include <burdock/fakes/fakefleet.h>
#include <burdock/wire/eventloop.h>

#include <csignal>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace Burdock;

namespace
{

constexpr const char *Usage = "Usage: burdock-fakes [--store ADDRESS] [--instance-list ADDRESS] [--control ADDRESS] [--fleet-file FILE]\n"
                              "Addresses are IP:PORT; port 0, the default, takes a free one. Prints `ready` and the addresses as JSON.\n";

struct Options
{
    FakeAddresses addresses{Address{"127.0.0.1", 0}, Address{"127.0.0.1", 0}, Address{"127.0.0.1", 0}};
    FleetFile fleet;
};

Result<FleetFile> readFleet(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return notRun(Errc::NotFound, "cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parseFleetFile(text.str());
}

Result<Options> parseOptions(int count, char **arguments)
{
    static const option known[] = {
        {"store", required_argument, nullptr, 's'},
        {"instance-list", required_argument, nullptr, 'i'},
        {"control", required_argument, nullptr, 'c'},
        {"fleet-file", required_argument, nullptr, 'f'},
        {nullptr, 0, nullptr, 0},
    };
    Options options;
    int chosen = 0;
    while ((chosen = getopt_long(count, arguments, "", known, nullptr)) != -1) {
        if (chosen == 'f') {
            const auto fleet = readFleet(optarg);
            if (!fleet) {
                return tl::make_unexpected(fleet.error());
            }
            options.fleet = *fleet;
            continue;
        }
        if (chosen == '?') {
            return notRun(Errc::BadRequest, Usage);
        }
        const auto address = Address::parse(optarg);
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        (chosen == 's' ? options.addresses.store : chosen == 'i' ? options.addresses.instanceList : options.addresses.control) = *address;
    }
    return options;
}

void printReady(FakeFleet &fleet, const FakeAddresses &addresses)
{
    nlohmann::json servers = nlohmann::json::object();
    for (const auto &server : fleet.servers()) {
        servers[server.first.text()] = server.second.port->server.address().toString();
    }
    const nlohmann::json line{{"store", addresses.store.toString()},
                              {"instanceList", addresses.instanceList.toString()},
                              {"control", addresses.control.toString()},
                              {"servers", std::move(servers)}};
    std::cout << "ready " << line.dump() << std::endl;
}

} // namespace

int main(int count, char **arguments)
{
    const auto options = parseOptions(count, arguments);
    if (!options) {
        std::cerr << options.error().message << '\n';
        return 2;
    }
    EventLoop loop;
    FakeFleet fleet(loop, loop.base(), options->fleet);
    const auto addresses = fleet.listen(options->addresses);
    if (!addresses) {
        std::cerr << addresses.error().message << '\n';
        return 1;
    }
    for (const int signal : {SIGINT, SIGTERM}) {
        loop.onSignal(signal, [&loop] { loop.stop(); });
    }
    printReady(fleet, *addresses);
    loop.run();
    return 0;
}
