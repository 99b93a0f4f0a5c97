#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// Seeds of a benchmark run.
struct BenchOptions
{
    /// First seed and number of consecutive seeds.
    std::uint64_t seed = 1;
    std::uint64_t seeds = 5;
};

/// Collects named figures over seeds and prints the minimum, median and maximum of each.
class Summary
{
public:
    explicit Summary(std::string title);

    void add(const std::string &name, double value);

    /// Prints one line per figure, sorted by name.
    void print() const;

private:
    std::string title_;
    std::map<std::string, std::vector<double>> samples_;
};

/// The quantile of the values at `fraction`, from 0 to 1; 0 if there are no values.
double quantile(std::vector<double> values, double fraction);

void benchTopK(const BenchOptions &options);
void benchHedging(const BenchOptions &options);
void benchTopology(const BenchOptions &options);
void benchFloods(const BenchOptions &options);

} // namespace Burdock
