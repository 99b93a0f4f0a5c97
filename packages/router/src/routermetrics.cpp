#include <burdock/router/routermetrics.h>

#include <sstream>
#include <utility>

namespace Burdock
{

namespace
{

/// Upper bounds of the latency buckets, in seconds.
const std::vector<double> LatencyBounds{0, 0.005, 0.01, 0.02, 0.035, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 1, 2, 4, 8, 15};
/// The maximum number of series by route and outcome. Further routes are counted together, which limits the size of the metrics.
constexpr std::size_t MaxSeries = 100;
constexpr const char *OtherRoutes = "others";

void writeHeader(std::ostream &out, const std::string &name, const std::string &kind, const std::string &help)
{
    out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << kind << '\n';
}

} // namespace

void RouterMetrics::countAnswer(const std::string &route, std::string_view outcome, Duration elapsed, std::uint32_t missingParts)
{
    std::pair<std::string, std::string> key(route, outcome);
    if (answers_.count(key) == 0 && answers_.size() >= MaxSeries) {
        key.first = OtherRoutes;
    }
    const auto answers = answers_.try_emplace(key, AnswerStatistics{boost::histogram::make_histogram(Axis(LatencyBounds)), 0, 0}).first;
    const double seconds = std::chrono::duration<double>(elapsed).count();
    answers->second.seconds(seconds);
    answers->second.sum += seconds;
    answers->second.missingParts += missingParts;
}

void RouterMetrics::addValue(std::string name, std::string kind, std::string help, std::function<double()> read)
{
    values_.push_back(Value{std::move(name), std::move(kind), std::move(help), std::move(read)});
}

void RouterMetrics::addSeries(std::string name, std::string help, std::function<void(const SeriesVisitor &)> read)
{
    series_.push_back(Series{std::move(name), std::move(help), std::move(read)});
}

void RouterMetrics::forEachValue(const std::function<void(const std::string &, double)> &visit) const
{
    for (const Value &value : values_) {
        visit(value.name, value.read());
    }
}

std::string RouterMetrics::text() const
{
    std::ostringstream out;
    out.precision(15);
    writeHeader(out, "burdock_request_seconds", "histogram", "Time from a request's arrival to its answer, by route and outcome.");
    for (const auto &[key, answers] : answers_) {
        const std::string labels = "route=\"" + key.first + "\",outcome=\"" + key.second + "\"";
        const auto &axis = answers.seconds.axis();
        double count = 0;
        for (int bucket = 0; bucket < axis.size(); ++bucket) {
            count += answers.seconds.at(bucket);
            out << "burdock_request_seconds_bucket{" << labels << ",le=\"" << axis.value(bucket + 1) << "\"} " << count << '\n';
        }
        count += answers.seconds.at(axis.size());
        out << "burdock_request_seconds_bucket{" << labels << ",le=\"+Inf\"} " << count << '\n';
        out << "burdock_request_seconds_sum{" << labels << "} " << answers.sum << '\n';
        out << "burdock_request_seconds_count{" << labels << "} " << count << '\n';
    }
    writeHeader(out, "burdock_missing_parts_total", "counter", "Shards left out of gathered answers, by route.");
    for (const auto &[key, answers] : answers_) {
        if (answers.missingParts > 0) {
            out << "burdock_missing_parts_total{route=\"" << key.first << "\"} " << answers.missingParts << '\n';
        }
    }
    writeHeader(out, "burdock_clients_left_total", "counter", "Clients that closed their connection before the answer.");
    out << "burdock_clients_left_total " << disconnects_ << '\n';
    for (const Value &value : values_) {
        writeHeader(out, value.name, value.kind, value.help);
        out << value.name << ' ' << value.read() << '\n';
    }
    for (const Series &series : series_) {
        writeHeader(out, series.name, "gauge", series.help);
        series.read([&out, &series](const std::string &labels, double value) { out << series.name << '{' << labels << "} " << value << '\n'; });
    }
    return out.str();
}

} // namespace Burdock
