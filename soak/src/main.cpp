/// burdock-soak: runs the programs as processes on one machine, injects faults from outside and checks the guarantees meanwhile.

#include "soakreport.h"

#include <burdock/values/optiontable.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace Burdock;

namespace
{

constexpr int ExitViolated = 1;
constexpr int ExitUsage = 2;
/// Time from the end of the faults until requests must be served again.
constexpr Duration RecoveryTime = std::chrono::seconds(6);
/// How long service is observed after that.
constexpr Duration ObservationTime = std::chrono::seconds(3);
constexpr Duration FinalAnswersTimeout = std::chrono::milliseconds(4200);

const OptionTable &optionTable()
{
    static const OptionTable table("burdock-soak",
                                   "BURDOCK_SOAK_",
                                   "burdock-soak injects seeded faults into instances, a fake platform and its servers, and checks the guarantees.",
                                   {{"seeds", "A..B", "1..1", "The range of seeds to run, one after the other."},
                                    {"minutes", "N", "0", "Runs consecutive seeds for this many minutes instead, starting at the first of --seeds."},
                                    {"seconds", "N", "20", "How long each seed injects faults, in seconds."},
                                    {"instances", "N", "6", "Number of instances."},
                                    {"rate", "N", "120", "Requests per second."},
                                    {"only", "KIND", "", "Injects only this kind of fault, such as 'server leaves'."},
                                    {"earlier", "PATH", "", "A burdock-router of an earlier build that runs beside the present one."},
                                    {"order", "WORD", "mixed", "forward: earlier instances are replaced one by one; back: by earlier ones; mixed: drawn."},
                                    {"untimed", "", "", "Skips the time-bounded guarantees, for busy machines."},
                                    {"report", "FOLDER", "", "Writes an HTML report for each seed to this folder."},
                                    {"logs", "FOLDER", "", "Saves the instances' logs of each failed seed to this folder."},
                                    {"help", "", "", "Prints this help."}});
    return table;
}

struct SoakOptions
{
    std::uint64_t first = 1;
    std::uint64_t last = 1;
    std::chrono::minutes minutes{0};
    std::chrono::seconds seconds{20};
    int instances = 6;
    int rate = 120;
    bool timed = true;
    std::string earlier;
    SoakBuilds::Order order = SoakBuilds::Order::Mixed;
    std::string only;
    std::string report;
    std::string logs;
};

template<class T>
bool readNumber(const std::string &text, T &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

Result<SoakOptions> parseOptions(const OptionValues &values)
{
    SoakOptions options;
    const std::string seeds = values.text("seeds");
    const std::size_t dots = seeds.find("..");
    const bool single = dots == std::string::npos;
    std::int64_t minutes = 0;
    std::int64_t seconds = 0;
    const bool read = readNumber(seeds.substr(0, dots), options.first) && readNumber(single ? seeds : seeds.substr(dots + 2), options.last)
        && readNumber(values.text("minutes"), minutes) && readNumber(values.text("seconds"), seconds) && readNumber(values.text("instances"), options.instances)
        && readNumber(values.text("rate"), options.rate);
    constexpr int MaxInstances = 200;
    constexpr int MaxRate = 2000;
    if (!read || options.first > options.last || seconds < 1 || options.instances < 1 || options.instances > MaxInstances || options.rate < 1
        || options.rate > MaxRate) {
        return notRun(Errc::BadRequest,
                      "--seeds must be A..B, --instances 1 to 200, --rate 1 to 2000, --seconds at least 1, and the other numbers integers; see --help");
    }
    options.minutes = std::chrono::minutes(minutes);
    options.seconds = std::chrono::seconds(seconds);
    options.timed = !values.on("untimed");
    options.only = values.text("only");
    if (!options.only.empty() && !SoakFaults::hasKind(options.only)) {
        return notRun(Errc::BadRequest, "--only: unknown kind of fault '" + options.only + "'");
    }
    options.earlier = values.text("earlier");
    const std::map<std::string, SoakBuilds::Order> orders{
        {"forward", SoakBuilds::Order::Forward}, {"back", SoakBuilds::Order::Back}, {"mixed", SoakBuilds::Order::Mixed}};
    const auto order = orders.find(values.text("order"));
    if (order == orders.end()) {
        return notRun(Errc::BadRequest, "--order must be forward, back or mixed");
    }
    options.order = order->second;
    options.report = values.text("report");
    options.logs = values.text("logs");
    return options;
}

void saveLogs(SoakWorld &world, const std::string &folder, std::uint64_t seed)
{
    for (const std::string &instance : world.instances()) {
        std::ostringstream path;
        path << folder << "/soak-" << seed << '-' << instance << ".log";
        std::ofstream(path.str()) << world.testbed().log(instance);
    }
}

/// Runs one seed; returns whether all guarantees held.
bool runSeed(std::uint64_t seed, const SoakOptions &options)
{
    SoakWorld world(options.instances, SoakBuilds(options.earlier, options.order, seed), seed);
    EventLoop &loop = world.testbed().loop();
    for (const std::string &instance : world.instances()) {
        world.testbed().waitUntilReady(instance);
    }
    SoakChecks checks(world, options.timed);
    SoakLoad load(world, checks, seed, options.rate);
    SoakFaults faults(world, load, checks, seed, options.only);
    load.start();
    faults.start();
    faults.replaceAll(options.seconds);
    const auto runFor = [&](Duration span) {
        const TimePoint end = loop.now() + span;
        while (loop.now() < end) {
            loop.runUntil([] { return false; }, std::min<Duration>(end - loop.now(), std::chrono::milliseconds(100)));
            checks.checkRunning();
        }
    };
    runFor(options.seconds);
    faults.stop();
    runFor(RecoveryTime + ObservationTime);
    checks.checkRecovered();
    checks.checkConfigInForce();
    checks.checkWithdrawnKeys();
    load.stop();
    loop.runUntil([&load] { return load.inFlight() == 0; }, FinalAnswersTimeout);
    checks.checkEnd();
    const bool passed = checks.violations().empty();
    std::cout << "seed " << seed << ": " << (passed ? "kept" : "VIOLATED") << ", " << faults.injected().size() << " faults, " << soakSummary(checks)
              << std::endl;
    for (const std::string &violation : checks.violations()) {
        std::cout << "    " << violation << '\n';
    }
    if (!options.report.empty()) {
        std::ofstream(options.report + "/soak-" + std::to_string(seed) + ".html") << soakReport(seed, checks, faults.injected());
    }
    if (!passed && !options.logs.empty()) {
        saveLogs(world, options.logs, seed);
    }
    return passed;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto values = optionTable().read(argc, argv);
    if (values && values->on("help")) {
        std::cout << optionTable().help();
        return 0;
    }
    const auto options = values ? parseOptions(*values) : Result<SoakOptions>(tl::make_unexpected(values.error()));
    if (!options) {
        std::cerr << options.error().message << '\n';
        return ExitUsage;
    }
    const auto started = std::chrono::steady_clock::now();
    std::uint64_t seedsRun = 0;
    std::uint64_t seedsViolated = 0;
    for (std::uint64_t seed = options->first;
         options->minutes.count() > 0 ? std::chrono::steady_clock::now() - started < options->minutes : seed <= options->last;
         ++seed) {
        ++seedsRun;
        seedsViolated += runSeed(seed, *options) ? 0 : 1;
    }
    std::cout << "soak: " << seedsRun << " seeds, " << seedsViolated << " with violations" << std::endl;
    return seedsViolated == 0 ? 0 : ExitViolated;
}
