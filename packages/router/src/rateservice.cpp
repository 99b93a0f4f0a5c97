#include <burdock/router/rateservice.h>

#include <burdock/router/httppeers.h>
#include <burdock/router/ratecodec.h>

#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
constexpr int BadRequestStatus = 400;
constexpr int NotFoundStatus = 404;
/// Longer than the tokens of an answer could be used.
constexpr Duration AskTimeout = std::chrono::milliseconds(600);
constexpr double Thousandths = 1000;

std::int64_t thousandthsOf(double value)
{
    return static_cast<std::int64_t>(value * Thousandths);
}

Result<RateReply> replyOf(const Result<HttpResponse> &response)
{
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status != OkStatus) {
        // Instances of earlier builds do not know the path.
        return notRun(response->status == NotFoundStatus ? Errc::NotFound : Errc::Unavailable, "status " + std::to_string(response->status));
    }
    return readRateReply(response->body);
}

} // namespace

RateService::RateService(Runtime &runtime,
                         HttpClient &client,
                         const RouterSettings &settings,
                         const InstanceTable &instances,
                         const InstanceRecord &self,
                         std::function<TimePoint()> confirmedAt,
                         std::uint64_t life,
                         DecisionLog &log)
    : client_(client)
    , instances_(instances)
    , self_(self)
    , log_(log)
    , rates_(
          runtime,
          settings.id,
          {settings.workspaceRates.window, settings.workspaceRates.overage, settings.workspaceRates.slack},
          life,
          [this](const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done) { send(to, ask, std::move(done)); },
          std::move(confirmedAt),
          [this](const RateReport &report) { logReport(report); },
          [this](const InstanceId &holder, const char *reason) {
              log_.write(DecisionPriority::Change, "rates.holder", {{"holder", holder.text()}, {"reason", reason}});
          })
{
}

void RateService::setConfig(const RoutingConfig &config)
{
    std::map<std::string, RateTerms> terms;
    for (const Workspace &workspace : config.workspaces) {
        if (workspace.rate.isLimited()) {
            terms[workspace.name] = workspace.rate;
        }
    }
    if (terms == terms_) {
        return;
    }
    const bool first = terms_.empty();
    for (const auto &[name, rate] : terms) {
        const auto before = terms_.find(name);
        if (!first && (before == terms_.end() || before->second != rate)) {
            log_.write(DecisionPriority::Change,
                       "rates.changed",
                       {{"workspace", name},
                        {"perThousandSeconds", thousandthsOf(rate.perSecond)},
                        {"burst", static_cast<std::int64_t>(rate.burst)},
                        {"config", config.version}});
        }
    }
    log_.write(DecisionPriority::Change, "rates.inForce", {{"workspaces", static_cast<std::int64_t>(terms.size())}, {"config", config.version}});
    terms_ = terms;
    rates_.setTerms(terms_);
    if (first) {
        onInstancesChanged(known_);
    }
}

void RateService::onInstancesChanged(bool known)
{
    known_ = known;
    if (terms_.empty() || !known) {
        return;
    }
    std::vector<InstanceId> senders;
    std::vector<InstanceId> holders;
    for (const InstanceRecord *record : instances_.rateSharers(self_)) {
        senders.push_back(record->id);
        peers_[record->id] = record->peers;
        if (record->ready && !record->cutOff) {
            holders.push_back(record->id);
        }
    }
    rates_.setInstances(senders, std::move(holders));
}

void RateService::send(const InstanceId &to, const RateAsk &ask, std::function<void(const Result<RateReply> &)> done)
{
    const auto peer = peers_.find(to);
    HttpRequest request;
    request.address = peer == peers_.end() ? Address() : peer->second;
    request.method = "POST";
    request.path = Path;
    request.body = writeRateAsk(ask);
    request.timeout = AskTimeout;
    client_.setLimits(request.address, HttpPeers::Connections);
    client_.send(std::move(request), [done = std::move(done)](const Result<HttpResponse> &response) { done(replyOf(response)); });
}

void RateService::serve(const HttpServerRequest &incoming, HttpResponder &responder)
{
    HttpServerResponse out;
    out.jsonByDefault = false;
    const Result<RateAsk> ask = readRateAsk(incoming.body);
    if (ask) {
        out.status = OkStatus;
        out.body = writeRateReply(rates_.onAsk(*ask));
    } else {
        log_.write(DecisionPriority::Problem, "rates.skipped", {{"reason", ask.error().message}});
        out.status = BadRequestStatus;
    }
    responder.respond(std::move(out));
}

void RateService::logReport(const RateReport &report)
{
    const auto number = [](std::uint64_t value) { return static_cast<std::int64_t>(value); };
    log_.write(DecisionPriority::Problem,
               "rates.limited",
               {{"workspace", report.name},
                {"perThousandSeconds", thousandthsOf(report.terms.perSecond)},
                {"burst", static_cast<std::int64_t>(report.terms.burst)},
                {"admitted", number(report.admitted)},
                {"refused", number(report.refused)},
                {"tokens", number(report.granted)},
                {"tokensMissing", number(report.unmet)},
                {"tokensExpired", number(report.expired)},
                {"givenBack", number(report.givenBack)},
                {"holder", report.holder.text()},
                {"perThousandInHand", thousandthsOf(report.part)}});
}

void RateService::registerMetrics(RouterMetrics &metrics)
{
    const RateCounters &counters = rates_.counters();
    const auto counter = [&metrics](const char *name, const char *help, const std::uint64_t *value) {
        metrics.addValue(name, "counter", help, [value] { return static_cast<double>(*value); });
    };
    counter("burdock_rates_admitted_total", "Requests within the rates of their workspaces.", &counters.admitted);
    counter("burdock_rates_refused_total", "Requests beyond the rates of their workspaces.", &counters.refused);
    counter("burdock_rates_waited_total", "Requests for which the holder of the rates was asked.", &counters.waited);
    counter("burdock_rates_asks_total", "Messages to the holder of the rates.", &counters.asks);
    counter("burdock_rates_asks_failed_total", "Messages to the holder of the rates without an answer.", &counters.asksFailed);
    counter("burdock_rates_holder_changes_total", "Times that this instance turned to another holder.", &counters.holderChanges);
    metrics.addValue("burdock_rates_granted_total", "counter", "Tokens given out as the holder.", [this] { return static_cast<double>(rates_.granted()); });
    metrics.addValue("burdock_rates_per_thousand_held", "gauge", "The part of all rates that this instance holds, in thousandths.", [this] {
        return rates_.pooled() * Thousandths;
    });
}

} // namespace Burdock
