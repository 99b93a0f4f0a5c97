#include <burdock/router/costmetrics.h>

#include <string>
#include <utility>

namespace Burdock
{

namespace
{

/// The service of routes over shards, which share an estimate.
constexpr const char *Shards = "shards";

} // namespace

void addCostMetrics(RouterMetrics &metrics, const CostPlacing &placing, const Runtime &runtime)
{
    const auto add = [&](std::string name, std::string help, double (*read)(const CostEstimate &)) {
        metrics.addSeries(std::move(name), std::move(help), [&placing, &runtime, read](const RouterMetrics::SeriesVisitor &visit) {
            placing.estimates().forEachRoute(runtime.now(), [&visit, read](const CostKey &key, const CostEstimate &estimate) {
                const std::string service = key.service.empty() ? std::string(Shards) : key.service.text();
                visit("route=\"" + key.route + "\",service=\"" + service + "\"", read(estimate));
            });
        });
    };
    add("burdock_request_work_microseconds", "Expected work of a request at a server of usual pace, by route and service.", [](const CostEstimate &estimate) {
        return static_cast<double>(estimate.work.count());
    });
    add("burdock_request_work_age_seconds", "Time since the latest answer from which the work was learned.", [](const CostEstimate &estimate) {
        return std::chrono::duration<double>(estimate.age).count();
    });
    add("burdock_request_work_answers", "Answers that the expected work rests on, older ones counting less.", [](const CostEstimate &estimate) {
        return estimate.weight;
    });
}

} // namespace Burdock
