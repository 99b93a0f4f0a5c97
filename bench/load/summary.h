#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// What the bench is to run.
struct BenchOptions
{
    /// The first seed and how many follow it.
    std::uint64_t seed = 1;
    std::uint64_t seeds = 5;
};

/// Collects named figures over seeds and prints the least, the median and the largest of each.
class Summary
{
public:
    explicit Summary(std::string title);

    void add(const std::string &name, double value);

    /// Prints one line for each figure, in the order of their names.
    void print() const;

private:
    std::string title_;
    std::map<std::string, std::vector<double>> figures_;
};

/// The value below which the part `part` of the values lies; 0 where there are none.
double quantileOf(std::vector<double> values, double part);

void benchTopK(const BenchOptions &options);
void benchHedging(const BenchOptions &options);
void benchTopology(const BenchOptions &options);
void benchFloods(const BenchOptions &options);

} // namespace Burdock
