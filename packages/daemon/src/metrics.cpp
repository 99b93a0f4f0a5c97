#include <burdock/daemon/metrics.h>

#include <sstream>

namespace Burdock
{

namespace
{

/// Bucket bounds of the latency histogram, in seconds. The first is the lower end of the first bucket.
const std::vector<double> LatencyBounds{0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 30};
/// Bucket bounds of the coverage histogram, as fractions of the key space. A coverage of 1 falls into the last bucket.
const std::vector<double> CoverageBounds{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0};

/// Writes a histogram in the Prometheus text format: cumulative buckets by upper bound, sum and count.
template<class Histogram>
void writeHistogram(std::ostream &out, const std::string &name, Rank rank, const Histogram &histogram, double sum)
{
    const std::string label = "rank=\"" + std::string(rankName(rank)) + "\"";
    const auto &axis = histogram.axis();
    double count = 0;
    for (int i = 0; i < axis.size(); ++i) {
        count += histogram.at(i);
        out << name << "_bucket{" << label << ",le=\"" << axis.value(i + 1) << "\"} " << count << '\n';
    }
    count += histogram.at(axis.size());
    out << name << "_bucket{" << label << ",le=\"+Inf\"} " << count << '\n';
    out << name << "_sum{" << label << "} " << sum << '\n';
    out << name << "_count{" << label << "} " << count << '\n';
}

void writeHead(std::ostream &out, const std::string &name, const std::string &kind, const std::string &help)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << kind << '\n';
}

} // namespace

Metrics::Metrics()
{
    for (std::size_t i = 0; i < RankCount; ++i) {
        ranks_.push_back(RankRecord{boost::histogram::make_histogram(Axis(LatencyBounds)), 0, boost::histogram::make_histogram(Axis(CoverageBounds)), 0});
    }
}

void Metrics::recordAnswer(Rank rank, Duration took, double coverage)
{
    RankRecord &record = ranks_[rankIndex(rank)];
    const double seconds = std::chrono::duration<double>(took).count();
    record.latency(seconds);
    record.latencySum += seconds;
    record.coverage(coverage);
    record.coverageSum += coverage;
}

void Metrics::recordRefusal(const std::string &code, const std::string &verdict)
{
    ++refusals_[{code, verdict}];
}

void Metrics::registerMetric(std::string name, std::string kind, std::string help, std::function<double()> read)
{
    registered_.push_back(RegisteredMetric{std::move(name), std::move(kind), std::move(help), std::move(read)});
}

std::string Metrics::text() const
{
    std::ostringstream out;
    out.precision(15);
    writeHead(out, "burdock_answer_seconds", "histogram", "Time from a request's arrival to its answer.");
    for (const Rank rank : AllRanks) {
        const RankRecord &record = ranks_[rankIndex(rank)];
        writeHistogram(out, "burdock_answer_seconds", rank, record.latency, record.latencySum);
    }
    writeHead(out, "burdock_answer_coverage", "histogram", "Part of the key space that an answer speaks for.");
    for (const Rank rank : AllRanks) {
        const RankRecord &record = ranks_[rankIndex(rank)];
        writeHistogram(out, "burdock_answer_coverage", rank, record.coverage, record.coverageSum);
    }
    writeHead(out, "burdock_refusals_total", "counter", "Refused requests by code and verdict.");
    for (const auto &[key, count] : refusals_) {
        out << "burdock_refusals_total{code=\"" << key.first << "\",verdict=\"" << key.second << "\"} " << count << '\n';
    }
    for (const RegisteredMetric &metric : registered_) {
        writeHead(out, metric.name, metric.kind, metric.help);
        out << metric.name << ' ' << metric.read() << '\n';
    }
    return out.str();
}

} // namespace Burdock
