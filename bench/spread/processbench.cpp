/// Measures how long real processes take to put a configuration change in force, and its cost for the store. See
/// docs/measurements/spreading.md.
///
///     spreadprocessbench [CHANGES [INSTANCES...]]

#include "testbed.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace Burdock;

namespace
{

constexpr Duration PollInterval = std::chrono::milliseconds(10);
constexpr Duration Timeout = std::chrono::seconds(60);
constexpr Duration IdleTime = std::chrono::seconds(20);
const std::vector<std::string> Regions{"litoral", "capital", "norte"};

/// A copy of an example in which one file can be changed.
class ModifiableDeclarations
{
public:
    explicit ModifiableDeclarations(const std::string &example)
        : path_(std::filesystem::temp_directory_path() / ("spreadbench-" + std::to_string(getpid())))
    {
        std::filesystem::copy(example, path_, std::filesystem::copy_options::recursive);
    }
    ~ModifiableDeclarations()
    {
        std::error_code error;
        std::filesystem::remove_all(path_, error);
    }
    ModifiableDeclarations(const ModifiableDeclarations &) = delete;
    ModifiableDeclarations &operator=(const ModifiableDeclarations &) = delete;

    void change() const
    {
        std::ofstream(path_ / "teams/technicians.toml", std::ios::app) << "# changed\n";
    }
    std::string path() const
    {
        return path_.string();
    }

private:
    std::filesystem::path path_;
};

std::string instanceName(std::size_t instance)
{
    return "i" + std::to_string(instance);
}

/// Number of instances whose status reports the version, or a later one, as in force.
std::size_t countInstancesWithVersion(Testbed &testbed, std::size_t instances, std::uint64_t version)
{
    std::size_t answered = 0;
    std::size_t withVersion = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        testbed.send(testbed.callersAddress(instanceName(i)), "GET", "/v1/status", "", {}, [&](const Result<HttpResponse> &response) {
            ++answered;
            const auto status = nlohmann::json::parse(response ? response->body : "", nullptr, false);
            withVersion += status.is_object() && status["configuration"].value("version", std::uint64_t{0}) >= version ? 1 : 0;
        });
    }
    testbed.loop().runUntil([&] { return answered == instances; }, Timeout);
    return withVersion;
}

double storeCalls(Testbed &testbed)
{
    const auto counters = testbed.control("GET", "/fake/store");
    return counters.at("reads").get<double>() + counters.at("watches").get<double>();
}

std::string formatMinMedianMax(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    char text[80];
    std::snprintf(text, sizeof text, "%.3g / %.3g / %.3g", values.front(), values[values.size() / 2], values.back());
    return text;
}

/// Publishes the folder, optionally pushing it to instances; returns the seconds until the last instance has it in force.
double publishAndWait(Testbed &testbed, std::size_t instances, const ModifiableDeclarations &folder, std::uint64_t version, bool push)
{
    ChildProcess ctl(BURDOCK_CTL,
                     {"publish",
                      "--store-address",
                      testbed.store().toString(),
                      "--instance-list-address",
                      testbed.instanceList().toString(),
                      "--base",
                      std::to_string(version - 1),
                      "--who",
                      "bench",
                      "--why",
                      "bench",
                      "--push-ms",
                      push ? "1000" : "0",
                      folder.path()});
    const TimePoint startedAt = testbed.loop().now();
    while (countInstancesWithVersion(testbed, instances, version) < instances && testbed.loop().now() - startedAt < Timeout) {
        testbed.loop().runUntil([] { return false; }, PollInterval);
    }
    const double elapsed = std::chrono::duration<double>(testbed.loop().now() - startedAt).count();
    ctl.readAll();
    if (ctl.wait() != 0) {
        std::printf("burdockctl failed\n");
        std::exit(1);
    }
    return elapsed;
}

void measure(std::size_t instances, int changes)
{
    Testbed testbed("pereyra-hermanos", Regions);
    for (std::size_t i = 0; i < instances; ++i) {
        testbed.startInstance(instanceName(i), Regions[i % Regions.size()]);
    }
    const ModifiableDeclarations folder(testbed.declarations());
    std::uint64_t version = 0;
    publishAndWait(testbed, instances, folder, ++version, false);
    testbed.loop().runUntil([] { return false; }, std::chrono::seconds(5));
    const double before = storeCalls(testbed);
    testbed.loop().runUntil([] { return false; }, IdleTime);
    const double idleCallsPerSecond = (storeCalls(testbed) - before) / std::chrono::duration<double>(IdleTime).count();
    for (const bool push : {false, true}) {
        std::vector<double> elapsed;
        std::vector<double> calls;
        for (int i = 0; i < changes; ++i) {
            folder.change();
            const double callsBefore = storeCalls(testbed);
            elapsed.push_back(publishAndWait(testbed, instances, folder, ++version, push));
            calls.push_back(storeCalls(testbed) - callsBefore);
        }
        std::printf("| %zu | %s | %.3g | %s | %s |\n",
                    instances,
                    push ? "yes" : "no",
                    idleCallsPerSecond,
                    formatMinMedianMax(calls).c_str(),
                    formatMinMedianMax(elapsed).c_str());
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const int changes = argc > 1 ? std::max(1, std::atoi(argv[1])) : 15;
    std::vector<std::size_t> sizes;
    for (int argument = 2; argument < argc; ++argument) {
        sizes.push_back(std::max<std::size_t>(std::strtoul(argv[argument], nullptr, 10), 1));
    }
    if (sizes.empty()) {
        sizes = {7, 20, 60};
    }
    std::printf("%d changes, figures as min / median / max; times from the start of burdockctl\n\n", changes);
    std::printf("| instances | handed out | store calls/s at rest | store calls per change | s to last instance |\n|---|---|---|---|---|\n");
    for (const std::size_t size : sizes) {
        measure(size, changes);
    }
    return 0;
}
