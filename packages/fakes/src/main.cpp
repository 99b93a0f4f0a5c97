/// burdock-fakes: stand-ins for the platform and for backend servers, in one process on loopback. For tests only.

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/collector.h>
#include <burdock/fakes/declaredfleet.h>
#include <burdock/fakes/fakefleet.h>
#include <burdock/values/optiontable.h>
#include <burdock/wire/eventloop.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace Burdock;

namespace
{

constexpr int ExitNoAddress = 1;
constexpr int ExitUsage = 2;

const OptionTable &optionTable()
{
    static const OptionTable table("burdock-fakes",
                                   "BURDOCK_FAKES_",
                                   "burdock-fakes: stand-ins for the platform and for servers, for tests. Prints `ready` and the addresses as JSON.",
                                   {
                                       {"store", "IP:PORT", "127.0.0.1:0", "The store stand-in; port 0 takes a free one."},
                                       {"instance-list", "IP:PORT", "127.0.0.1:0", "The instance list stand-in."},
                                       {"control", "IP:PORT", "127.0.0.1:0", "Where tests steer the stand-ins."},
                                       {"fleet-file", "FILE", "", "The servers, as JSON."},
                                       {"declarations", "FOLDER", "", "Makes the servers that these declarations name."},
                                       {"regions", "NAME,NAME", "local", "With --declarations: over which the replicas are spread."},
                                       {"documents", "N", "2000", "With --declarations: documents in each index."},
                                       {"service-ms", "MS", "2", "With --declarations: the middle service time."},
                                       {"straggler-share", "PART", "0", "With --declarations: the part of requests that are stragglers."},
                                       {"straggler-factor", "N", "1", "With --declarations: how many times longer these take."},
                                       {"help", "", "", "Prints this text."},
                                   });
    return table;
}

std::vector<Region> splitRegions(const std::string &text)
{
    std::vector<Region> regions;
    std::istringstream words(text);
    for (std::string word; std::getline(words, word, ',');) {
        regions.emplace_back(word);
    }
    return regions;
}

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

Result<FleetFile> fleetOfDeclarations(const OptionValues &values)
{
    const auto set = collectDeclarations(values.text("declarations"));
    if (!set) {
        return tl::make_unexpected(set.error());
    }
    const auto configuration = checkDeclarations(*set, 1);
    DeclaredFleetOptions options;
    options.regions = splitRegions(values.text("regions"));
    if (!configuration || options.regions.empty()) {
        return notRun(Errc::BadRequest, "the declarations have faults, see burdockctl check, or --regions is empty");
    }
    options.documentsPerIndex = static_cast<std::uint32_t>(std::stoul(values.text("documents")));
    options.service = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(std::stod(values.text("service-ms"))));
    options.stragglerShare = std::stod(values.text("straggler-share"));
    options.stragglerFactor = std::stod(values.text("straggler-factor"));
    return fleetOf(*configuration, options);
}

Result<FleetFile> chooseFleet(const OptionValues &values)
{
    if (!values.text("declarations").empty()) {
        return fleetOfDeclarations(values);
    }
    return values.text("fleet-file").empty() ? FleetFile{} : readFleet(values.text("fleet-file"));
}

Result<FakeAddresses> chooseAddresses(const OptionValues &values)
{
    FakeAddresses addresses;
    for (const auto &[flag, address] :
         {std::pair{"store", &addresses.store}, std::pair{"instance-list", &addresses.instanceList}, std::pair{"control", &addresses.control}}) {
        const auto parsed = Address::parse(values.text(flag));
        if (!parsed) {
            return tl::make_unexpected(parsed.error());
        }
        *address = *parsed;
    }
    return addresses;
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

int run(const FleetFile &file, const FakeAddresses &wanted)
{
    EventLoop loop;
    FakeFleet fleet(loop, loop.base(), file);
    const auto addresses = fleet.listen(wanted);
    if (!addresses) {
        std::cerr << addresses.error().message << '\n';
        return ExitNoAddress;
    }
    for (const int signal : {SIGINT, SIGTERM}) {
        loop.addSignalHandler(signal, [&loop] { loop.stop(); });
    }
    printReady(fleet, *addresses);
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
    const auto fleet = values ? chooseFleet(*values) : Result<FleetFile>(tl::make_unexpected(values.error()));
    const auto addresses = fleet ? chooseAddresses(*values) : Result<FakeAddresses>(tl::make_unexpected(fleet.error()));
    if (!addresses) {
        std::cerr << addresses.error().message << '\n';
        return ExitUsage;
    }
    return run(*fleet, *addresses);
}
