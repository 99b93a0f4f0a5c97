/// instancebench: processor time and memory of one instance as entry and as holder, through real processes.
///
/// One instance stands in the servers' region and holds them all; another stands elsewhere and is asked. Each counted run
/// asks a number of queries of one index one after the other and reads both processes' times from the system before and after.

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
constexpr int WarmUp = 100;
constexpr int Hits = 20;
constexpr int AtATime = 8;
constexpr Duration AnswerPatience = std::chrono::seconds(10);

/// Processor time that a process has used, in microseconds, and its resident memory in bytes.
struct Usage
{
    double microseconds = 0;
    double bytes = 0;
};

Usage usageOf(pid_t pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string word;
    std::vector<std::string> words;
    while (file >> word) {
        words.push_back(word);
    }
    // Fields 14 and 15 are user and system time in clock ticks, 24 the resident pages; see proc(5).
    const double ticks = std::stod(words.at(13)) + std::stod(words.at(14));
    return Usage{ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK)), std::stod(words.at(23)) * static_cast<double>(sysconf(_SC_PAGESIZE))};
}

/// Who asks which index, and of how many shards it is.
struct Question
{
    const char *caller;
    const char *index;
    double shards;
};

/// Asks a number of queries, some at a time, and waits for all answers; false where one did not come.
bool askMany(Testbed &bed, const Question &question, int count)
{
    int answered = 0;
    int sent = 0;
    const nlohmann::json body{{"index", question.index}, {"query", "belt"}, {"limit", Hits}};
    while (answered < count) {
        for (; sent < count && sent - answered < AtATime; ++sent) {
            bed.send(bed.callersAddress("entry"), "POST", "/v1/query", body.dump(), {{"X-Caller", question.caller}}, [&answered](const Result<HttpResponse> &) {
                ++answered;
            });
        }
        const int before = answered;
        if (!bed.loop().runUntil([&] { return answered > before; }, AnswerPatience)) {
            return false;
        }
    }
    return true;
}

/// One value and how it came out over the runs.
class Series
{
public:
    void add(double value)
    {
        values_.push_back(value);
        std::sort(values_.begin(), values_.end());
    }

    std::string text() const
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

/// Least squares: intercept and slope.
std::array<double, 2> fit(const std::vector<std::array<double, 2>> &points)
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
    Testbed bed("pereyra-hermanos", {"litoral"});
    bed.startInstance("holder", "litoral");
    bed.startInstance("entry", "capital");
    if (bed.publish() != 0 || !bed.waitUntilReady()) {
        std::cerr << "the instances did not start\n";
        return 1;
    }
    const std::vector<Question> questions{
        {"technician-tablet", "technician", 6}, {"parts-desk", "parts", 10}, {"archive-pull", "ledger", 13}, {"dealer-portal", "dealer-catalogue", 15}};
    std::vector<std::array<double, 2>> entryPoints;
    std::vector<std::array<double, 2>> holderPoints;
    for (const Question &question : questions) {
        Series entry;
        Series holder;
        askMany(bed, question, WarmUp);
        for (int run = 0; run < Runs; ++run) {
            const Usage entryBefore = usageOf(bed.process("entry").pid());
            const Usage holderBefore = usageOf(bed.process("holder").pid());
            if (!askMany(bed, question, Queries)) {
                std::cerr << question.index << ": an answer did not come\n";
                return 1;
            }
            entry.add((usageOf(bed.process("entry").pid()).microseconds - entryBefore.microseconds) / Queries);
            holder.add((usageOf(bed.process("holder").pid()).microseconds - holderBefore.microseconds) / Queries);
        }
        std::cout << question.index << ", " << question.shards << " sub-requests: entry us a query " << entry.text() << "; holder us a query " << holder.text()
                  << std::endl;
        entryPoints.push_back({question.shards, entry.median()});
        holderPoints.push_back({question.shards, holder.median()});
    }
    const auto [entryBase, entrySlope] = fit(entryPoints);
    const auto [holderBase, holderSlope] = fit(holderPoints);
    std::cout << "entry: " << entryBase << " us a query + " << entrySlope << " us a sub-request\n";
    std::cout << "holder: " << holderBase << " us a query + " << holderSlope << " us a sub-request\n";
    std::cout << "resident bytes: entry " << usageOf(bed.process("entry").pid()).bytes << ", holder " << usageOf(bed.process("holder").pid()).bytes
              << std::endl;
    return 0;
}
