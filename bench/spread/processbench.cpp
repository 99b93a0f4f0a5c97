/// Measures how long real processes take to put a change in force, and what that costs the store. See
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

constexpr Duration Step = std::chrono::milliseconds(10);
constexpr Duration Limit = std::chrono::seconds(60);
constexpr Duration Rest = std::chrono::seconds(20);
const std::vector<std::string> Regions{"litoral", "capital", "norte"};

/// A copy of the example in which one file changes.
class ChangingFolder
{
public:
    explicit ChangingFolder(const std::string &example)
        : path_(std::filesystem::temp_directory_path() / ("spreadbench-" + std::to_string(getpid())))
    {
        std::filesystem::copy(example, path_, std::filesystem::copy_options::recursive);
    }
    ~ChangingFolder()
    {
        std::error_code error;
        std::filesystem::remove_all(path_, error);
    }
    ChangingFolder(const ChangingFolder &) = delete;
    ChangingFolder &operator=(const ChangingFolder &) = delete;

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

std::string nameOf(std::size_t instance)
{
    return "i" + std::to_string(instance);
}

/// How many instances answer that they have the version in force.
std::size_t countInForce(Testbed &bed, std::size_t instances, std::uint64_t version)
{
    std::size_t answered = 0;
    std::size_t inForce = 0;
    for (std::size_t i = 0; i < instances; ++i) {
        bed.send(bed.callersAddress(nameOf(i)), "GET", "/v1/status", "", {}, [&](const Result<HttpResponse> &response) {
            ++answered;
            const auto status = nlohmann::json::parse(response ? response->body : "", nullptr, false);
            inForce += status.is_object() && status["configuration"].value("version", std::uint64_t{0}) >= version ? 1 : 0;
        });
    }
    bed.loop().runUntil([&] { return answered == instances; }, Limit);
    return inForce;
}

double storeCalls(Testbed &bed)
{
    const auto counters = bed.control("GET", "/fake/store");
    return counters.at("reads").get<double>() + counters.at("watches").get<double>();
}

std::string spread(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    char text[80];
    std::snprintf(text, sizeof text, "%.3g / %.3g / %.3g", values.front(), values[values.size() / 2], values.back());
    return text;
}

/// Publishes the folder, with or without handing it to instances; the time from acceptance to the last instance.
double publishAndWait(Testbed &bed, std::size_t instances, const ChangingFolder &folder, std::uint64_t version, bool push)
{
    ChildProcess ctl(BURDOCK_CTL,
                     {"publish",
                      "--store-address",
                      bed.store().toString(),
                      "--instance-list-address",
                      bed.instanceList().toString(),
                      "--base",
                      std::to_string(version - 1),
                      "--who",
                      "bench",
                      "--why",
                      "bench",
                      "--push-ms",
                      push ? "1000" : "0",
                      folder.path()});
    const TimePoint began = bed.loop().now();
    while (countInForce(bed, instances, version) < instances && bed.loop().now() - began < Limit) {
        bed.loop().runUntil([] { return false; }, Step);
    }
    const double took = std::chrono::duration<double>(bed.loop().now() - began).count();
    ctl.readAll();
    if (ctl.wait() != 0) {
        std::printf("burdockctl failed\n");
        std::exit(1);
    }
    return took;
}

void measure(std::size_t instances, int changes)
{
    Testbed bed("pereyra-hermanos", Regions);
    for (std::size_t i = 0; i < instances; ++i) {
        bed.startInstance(nameOf(i), Regions[i % Regions.size()]);
    }
    const ChangingFolder folder(bed.declarations());
    std::uint64_t version = 0;
    publishAndWait(bed, instances, folder, ++version, false);
    bed.loop().runUntil([] { return false; }, std::chrono::seconds(5));
    const double before = storeCalls(bed);
    bed.loop().runUntil([] { return false; }, Rest);
    const double atRest = (storeCalls(bed) - before) / std::chrono::duration<double>(Rest).count();
    for (const bool push : {false, true}) {
        std::vector<double> took;
        std::vector<double> calls;
        for (int i = 0; i < changes; ++i) {
            folder.change();
            const double callsBefore = storeCalls(bed);
            took.push_back(publishAndWait(bed, instances, folder, ++version, push));
            calls.push_back(storeCalls(bed) - callsBefore);
        }
        std::printf("| %zu | %s | %.3g | %s | %s |\n", instances, push ? "yes" : "no", atRest, spread(calls).c_str(), spread(took).c_str());
        std::fflush(stdout);
    }
}

} // namespace

int main(int argc, char *argv[])
{
    const int changes = argc > 1 ? std::max(1, std::atoi(argv[1])) : 15;
    std::vector<std::size_t> sizes;
    for (int place = 2; place < argc; ++place) {
        sizes.push_back(std::max<std::size_t>(std::strtoul(argv[place], nullptr, 10), 1));
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
