#include "summary.h"

#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <map>
#include <string>

using namespace Burdock;

namespace
{

using Bench = void (*)(const BenchOptions &);

const std::map<std::string, Bench> Benches{
    {"topk", benchTopK},
    {"hedging", benchHedging},
    {"topology", benchTopology},
    {"floods", benchFloods},
};

int usage()
{
    std::fprintf(stderr, "burdock-loadbench [--seed N] [--seeds COUNT] topk|hedging|topology|floods...\n");
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    const option longOptions[] = {{"seed", required_argument, nullptr, 's'}, {"seeds", required_argument, nullptr, 'n'}, {nullptr, 0, nullptr, 0}};
    BenchOptions options;
    for (int flag = 0; (flag = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (flag != 's' && flag != 'n') {
            return usage();
        }
        (flag == 's' ? options.seed : options.seeds) = std::strtoull(optarg, nullptr, 10);
    }
    for (int argument = optind; argument < argc; ++argument) {
        const auto bench = Benches.find(argv[argument]);
        if (bench == Benches.end()) {
            return usage();
        }
        std::printf("seeds %lu to %lu\n", options.seed, options.seed + options.seeds - 1);
        bench->second(options);
    }
    return optind < argc ? EXIT_SUCCESS : usage();
}
