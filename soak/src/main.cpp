/// burdock-soak: real programs as processes on one machine, faults from outside them, and the promises checked meanwhile.

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
/// After the faults have ended, so long until everything must be served again, and so long it is then watched.
constexpr Duration Recovery = std::chrono::seconds(6);
constexpr Duration Watched = std::chrono::seconds(3);
constexpr Duration LastAnswers = std::chrono::milliseconds(4200);

const OptionTable &optionTable()
{
    static const OptionTable table("burdock-soak",
                                   "BURDOCK_SOAK_",
                                   "burdock-soak plays faults by seed against instances, a stand-in platform and its servers, and checks the promises.",
                                   {{"seeds", "A..B", "1..1", "Which seeds to play, one after the other."},
                                    {"minutes", "N", "0", "Plays fresh seeds for so long instead, from the first of --seeds on."},
                                    {"seconds", "N", "20", "For how long a seed brings about faults."},
                                    {"instances", "N", "6", "How many instances."},
                                    {"rate", "N", "120", "Requests a second."},
                                    {"only", "KIND", "", "Brings about this kind of fault alone, such as 'server leaves'."},
                                    {"untimed", "", "", "Leaves out the promises that name a time, for machines that are busy."},
                                    {"report", "FOLDER", "", "Writes a page for each seed there."},
                                    {"logs", "FOLDER", "", "Keeps the instances' logs of a seed that fails there."},
                                    {"help", "", "", "Prints this text."}});
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

Result<SoakOptions> optionsOf(const OptionValues &values)
{
    SoakOptions options;
    const std::string seeds = values.text("seeds");
    const std::size_t dots = seeds.find("..");
    const bool one = dots == std::string::npos;
    std::int64_t minutes = 0;
    std::int64_t seconds = 0;
    const bool read = readNumber(seeds.substr(0, dots), options.first) && readNumber(one ? seeds : seeds.substr(dots + 2), options.last)
        && readNumber(values.text("minutes"), minutes) && readNumber(values.text("seconds"), seconds) && readNumber(values.text("instances"), options.instances)
        && readNumber(values.text("rate"), options.rate);
    constexpr int MostInstances = 200;
    constexpr int MostRate = 2000;
    if (!read || options.first > options.last || seconds < 1 || options.instances < 1 || options.instances > MostInstances || options.rate < 1
        || options.rate > MostRate) {
        return notRun(Errc::BadRequest, "--seeds takes A..B, --instances 1 to 200, --rate 1 to 2000, the others whole numbers; see --help");
    }
    options.minutes = std::chrono::minutes(minutes);
    options.seconds = std::chrono::seconds(seconds);
    options.timed = !values.on("untimed");
    options.only = values.text("only");
    if (!options.only.empty() && !SoakFaults::knows(options.only)) {
        return notRun(Errc::BadRequest, "--only: there is no kind of fault '" + options.only + "'");
    }
    options.report = values.text("report");
    options.logs = values.text("logs");
    return options;
}

void keepLogs(SoakWorld &world, const std::string &folder, std::uint64_t seed)
{
    for (const std::string &instance : world.instances()) {
        std::ostringstream path;
        path << folder << "/soak-" << seed << '-' << instance << ".log";
        std::ofstream(path.str()) << world.bed().log(instance);
    }
}

/// Plays one seed; true where every promise was kept.
bool play(std::uint64_t seed, const SoakOptions &options)
{
    SoakWorld world(options.instances);
    EventLoop &loop = world.bed().loop();
    for (const std::string &instance : world.instances()) {
        world.bed().waitUntilReady(instance);
    }
    SoakChecks checks(world, options.timed);
    SoakLoad load(world, checks, seed, options.rate);
    SoakFaults faults(world, load, checks, seed, options.only);
    load.start();
    faults.start();
    const auto runFor = [&](Duration span) {
        const TimePoint end = loop.now() + span;
        while (loop.now() < end) {
            loop.runUntil([] { return false; }, std::min<Duration>(end - loop.now(), std::chrono::milliseconds(100)));
            checks.checkRunning();
        }
    };
    runFor(options.seconds);
    faults.end();
    runFor(Recovery + Watched);
    checks.checkRecovered();
    load.stop();
    loop.runUntil([&load] { return load.open() == 0; }, LastAnswers);
    checks.checkEnd();
    const bool kept = checks.violations().empty();
    std::cout << "seed " << seed << ": " << (kept ? "kept" : "VIOLATED") << ", " << faults.played().size() << " faults, " << soakSummary(checks) << std::endl;
    for (const std::string &violation : checks.violations()) {
        std::cout << "    " << violation << '\n';
    }
    if (!options.report.empty()) {
        std::ofstream(options.report + "/soak-" + std::to_string(seed) + ".html") << soakReport(seed, checks, faults.played());
    }
    if (!kept && !options.logs.empty()) {
        keepLogs(world, options.logs, seed);
    }
    return kept;
}

} // namespace

int main(int argc, char *argv[])
{
    const auto values = optionTable().read(argc, argv);
    if (values && values->on("help")) {
        std::cout << optionTable().help();
        return 0;
    }
    const auto options = values ? optionsOf(*values) : Result<SoakOptions>(tl::make_unexpected(values.error()));
    if (!options) {
        std::cerr << options.error().message << '\n';
        return ExitUsage;
    }
    const auto began = std::chrono::steady_clock::now();
    std::uint64_t played = 0;
    std::uint64_t violated = 0;
    for (std::uint64_t seed = options->first;
         options->minutes.count() > 0 ? std::chrono::steady_clock::now() - began < options->minutes : seed <= options->last;
         ++seed) {
        ++played;
        violated += play(seed, *options) ? 0 : 1;
    }
    std::cout << "soak: " << played << " seeds, " << violated << " with a promise violated" << std::endl;
    return violated == 0 ? 0 : ExitViolated;
}
