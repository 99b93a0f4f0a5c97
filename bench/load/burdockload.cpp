/// burdock-load: sends an open-loop load of queries to instances and prints service figures by phase and rank.

#include "loadrun.h"

#include <cstdlib>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <sstream>

using namespace Burdock;

namespace
{

constexpr ConnectionLimits Limits{2000, 2000, std::size_t{8} * 1024 * 1024};

int fail(const std::string &message)
{
    std::cerr << message << "\nburdock-load --entry IP:PORT [--entry IP:PORT...] --plan FILE [--seed N]\n";
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    const option longOptions[] = {{"entry", required_argument, nullptr, 'e'},
                                  {"plan", required_argument, nullptr, 'p'},
                                  {"seed", required_argument, nullptr, 's'},
                                  {nullptr, 0, nullptr, 0}};
    std::vector<Address> entries;
    std::string text;
    std::string seed;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (flag == 'e') {
            const auto address = Address::parse(optarg);
            if (!address) {
                return fail(address.error().message);
            }
            entries.push_back(*address);
        } else if (flag == 'p') {
            std::stringstream content;
            content << std::ifstream(optarg).rdbuf();
            text = content.str();
        } else if (flag == 's') {
            seed = optarg;
        } else {
            return fail("unknown option");
        }
    }
    auto plan = LoadPlan::parse(text);
    if (!plan || entries.empty()) {
        return fail(plan ? "at least one --entry is required" : plan.error().message);
    }
    plan->entries = entries;
    plan->seed = seed.empty() ? plan->seed : std::strtoull(seed.c_str(), nullptr, 10);
    EventLoop loop;
    const auto client = makeHttpClient(loop, Limits);
    LoadRun run(loop, *client, *plan);
    run.run();
    std::cout << run.report().dump(1) << '\n';
    return EXIT_SUCCESS;
}
