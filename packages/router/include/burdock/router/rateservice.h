#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/router/routermetrics.h>
#include <burdock/router/routersettings.h>
#include <burdock/routing/instancetable.h>
#include <burdock/routing/routingconfig.h>
#include <burdock/routing/sharedrates.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/httpserver.h>

#include <map>

namespace Burdock
{

/// Holds requests to the rates of workspaces, together with the other instances, over the peers' port.
///
/// Does nothing while the configuration names no rate.
class RateService
{
public:
    /// `self` and `instances` are read whenever the instances change. `confirmedAt` returns when the store last confirmed the record of
    /// this instance. `life` identifies this process among all lives of the instance.
    RateService(Runtime &runtime,
                HttpClient &client,
                const RouterSettings &settings,
                const InstanceTable &instances,
                const InstanceRecord &self,
                std::function<TimePoint()> confirmedAt,
                std::uint64_t life,
                DecisionLog &log);
    RateService(const RateService &) = delete;
    RateService &operator=(const RateService &) = delete;

    RateLimiter &limiter()
    {
        return rates_;
    }

    /// Sets the rates in force.
    void setConfig(const RoutingConfig &config);

    /// The instances have changed; `known` is whether they have been listed at all.
    void onInstancesChanged(bool known);

    /// Answers another instance.
    void serve(const HttpServerRequest &incoming, HttpResponder &responder);

    void registerMetrics(RouterMetrics &metrics);

    /// The path at the peers' port.
    static constexpr const char *Path = "/rates";

private:
    void send(const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done);
    void logReport(const RateReport &report);

    HttpClient &client_;
    const InstanceTable &instances_;
    const InstanceRecord &self_;
    DecisionLog &log_;
    std::map<std::string, RateTerms> terms_;
    bool known_ = false;
    std::map<InstanceId, Address> peers_;
    SharedRates rates_;
};

} // namespace Burdock
