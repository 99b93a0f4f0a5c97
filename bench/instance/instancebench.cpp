/// instancebench: processor time and memory of one instance as entry and as holder, measured on real processes.
///
/// One instance is in the servers' region and holds all of them; another, in a different region, is the entry. Each run
/// sends a number of queries for one index, a few in flight at a time, and reads both processes' times before and after.

#include "testbed.h"

#include <array>
#include <fstream>
#include <iostream>
#include <unistd.h>

using namespace Burdock;

namespace
{

constexpr int Runs = 5;
constexpr int Queries = 300;
constexpr int WarmUpQueries = 100;
constexpr int Hits = 20;
constexpr int MaxInFlight = 8;
constexpr Duration AnswerTimeout = std::chrono::seconds(10);

/// Processor time used by a process, in microseconds, and its resident memory in bytes.
struct Usage
{
    double microseconds = 0;
    double bytes = 0;
};

Usage readUsage(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string field;
    std::vector<std::string> fields;
    while (file >> field) {
        fields.push_back(field);
    }
    // Fields 14 and 15 are user and system time in clock ticks, field 24 the resident pages; see proc(5).
    const double ticks = std::stod(fields.at(13)) + std::stod(fields.at(14));
    return Usage{ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK)), std::stod(fields.at(23)) * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

/// A caller, the index it queries, and the index's number of shards.
struct QueryLoad
{
    const char *caller;
    const char *index;
    double shards;
};

/// Sends queries, several in flight at a time, and waits for all answers; false if none arrives within AnswerTimeout.
bool runQueries(Testbed &testbed, const QueryLoad &load, int count)
{
    int answered = 0;
    int sent = 0;
    const nlohmann::json body{{"index", load.index}, {"query", "belt"}, {"limit", Hits}};
    while (answered < count) {
        for (; sent < count && sent - answered < MaxInFlight; ++sent) {
            testbed.send(
                testbed.callersAddress("entry"), "POST", "/v1/query", body.dump(), {{"X-Caller", load.caller}}, [&answered](const Result<HttpResponse> &) {
                    ++answered;
                });
        }
        const int before = answered;
        if (!testbed.loop().runUntil([&] { return answered > before; }, AnswerTimeout)) {
            return false;
        }
    }
    return true;
}

/// Values of one figure over all runs, sorted.
class Samples
{
public:
    void add(double value)
    {
        values_.push_back(value);
        std::sort(values_.begin(), values_.end());
    }

    std::string formatMinMedianMax() const
    {
        return std::to_string(values_.front()) + " / " + std::to_string(values_[values_.size() / 2]) + " / " + std::to_string(values_.back());
    }

    double median() const
    {
        return values_[values_.size() / 2];
    }

private:
    std::vector<double> values_;
};

/// Fits a least-squares line; returns intercept and slope.
std::array<double, 2> fitLine(const std::vector<std::array<double, 2>> &points)
{
    double x = 0;
    double y = 0;
    double xx = 0;
    double xy = 0;
    for (const auto &[px, py] : points) {
        x += px;
        y += py;
        xx += px * px;
        xy += px * py;
    }
    const double n = static_cast<double>(points.size());
    const double slope = (n * xy - x * y) / (n * xx - x * x);
    return {(y - slope * x) / n, slope};
}

} // namespace

int main()
{
    Testbed testbed("pereyra-hermanos", {"litoral"});
    testbed.startInstance("holder", "litoral");
    testbed.startInstance("entry", "capital");
    if (testbed.publish() != 0 || !testbed.waitUntilReady()) {
        std::cerr << "the instances did not start\n";
        return 1;
    }
    const std::vector<QueryLoad> loads{
        {"technician-tablet", "technician", 6}, {"parts-desk", "parts", 10}, {"archive-pull", "ledger", 13}, {"dealer-portal", "dealer-catalogue", 15}};
    std::vector<std::array<double, 2>> entryPoints;
    std::vector<std::array<double, 2>> holderPoints;
    for (const QueryLoad &load : loads) {
        Samples entry;
        Samples holder;
        runQueries(testbed, load, WarmUpQueries);
        for (int run = 0; run < Runs; ++run) {
            const Usage entryBefore = readUsage(testbed.process("entry").pid());
            const Usage holderBefore = readUsage(testbed.process("holder").pid());
            if (!runQueries(testbed, load, Queries)) {
                std::cerr << load.index << ": timed out waiting for an answer\n";
                return 1;
            }
            entry.add((readUsage(testbed.process("entry").pid()).microseconds - entryBefore.microseconds) / Queries);
            holder.add((readUsage(testbed.process("holder").pid()).microseconds - holderBefore.microseconds) / Queries);
        }
        std::cout << load.index << ", " << load.shards << " sub-requests: entry us a query " << entry.formatMinMedianMax() << "; holder us a query "
                  << holder.formatMinMedianMax() << std::endl;
        entryPoints.push_back({load.shards, entry.median()});
        holderPoints.push_back({load.shards, holder.median()});
    }
    const auto [entryBase, entrySlope] = fitLine(entryPoints);
    const auto [holderBase, holderSlope] = fitLine(holderPoints);
    std::cout << "entry: " << entryBase << " us a query + " << entrySlope << " us a sub-request\n";
    std::cout << "holder: " << holderBase << " us a query + " << holderSlope << " us a sub-request\n";
    std::cout << "resident bytes: entry " << readUsage(testbed.process("entry").pid()).bytes << ", holder " << readUsage(testbed.process("holder").pid()).bytes
              << std::endl;
    return 0;
}
