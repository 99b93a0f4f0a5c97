#include <burdock/policy/instancelife.h>

#include <utility>

namespace Burdock
{

namespace
{

/// How long callers refused by a starting instance should wait before they retry.
constexpr Duration StartingRetryDelay = std::chrono::seconds(1);

} // namespace

const ChartTable<InstanceLife> &InstanceLife::table()
{
    static const ChartTable<InstanceLife> table(chartNamed("instancelife"),
                                                {{"requestConfirmation", &InstanceLife::requestConfirmation},
                                                 {"becomeReady", &InstanceLife::becomeReady},
                                                 {"becomeUnready", &InstanceLife::becomeUnready},
                                                 {"announceLeaving", &InstanceLife::announceLeaving},
                                                 {"refuseNewWork", &InstanceLife::refuseNewWork},
                                                 {"abandonWork", &InstanceLife::abandonWork},
                                                 {"handOver", &InstanceLife::handOver},
                                                 {"exit", &InstanceLife::exit}});
    return table;
}

InstanceLife::InstanceLife(Runtime &runtime, InstanceLifePort &port, const InstanceLifeSettings &settings)
    : runtime_(runtime)
    , port_(port)
    , settings_(settings)
    , run_(table(), *this)
    , lastCheck_(runtime.now())
    , phaseStarted_(runtime.now())
{
    timer_ = runtime_.schedule(Duration{0}, [this] {
        requestConfirmation();
        runPeriodicChecks();
    });
}

InstanceLife::~InstanceLife()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

void InstanceLife::onConfigConfirmed()
{
    handle("confirmed");
}

void InstanceLife::onConfigUnconfirmed()
{
    handle("configUnconfirmed");
}

void InstanceLife::terminate()
{
    handle("terminate");
}

void InstanceLife::setMaxRequestTime(Duration wait)
{
    maxRequestTime_ = wait;
}

std::optional<Failure> InstanceLife::refusal()
{
    detectPause();
    if (run_.isIn("ready") || run_.isIn("leaving")) {
        return std::nullopt;
    }
    if (run_.isIn("starting")) {
        return Failure{Errc::NotReady, Verdict::NotRun, "this instance has not confirmed its configuration yet; ask another one", StartingRetryDelay};
    }
    return Failure{Errc::Draining, Verdict::NotRun, "this instance is leaving; ask /v1/entries for another one", Duration{0}};
}

const std::string &InstanceLife::state() const
{
    return run_.state();
}

void InstanceLife::onChange(std::function<void(const std::string &state)> handler)
{
    changed_ = std::move(handler);
}

std::uint64_t InstanceLife::pauses() const
{
    return pauses_;
}

void InstanceLife::handle(std::string_view event)
{
    if (run_.isFinished()) {
        return;
    }
    const std::string &before = run_.state();
    run_.handle(event);
    if (&run_.state() != &before && changed_) {
        changed_(run_.state());
    }
}

void InstanceLife::runPeriodicChecks()
{
    timer_ = runtime_.schedule(settings_.checkInterval, [this] { runPeriodicChecks(); });
    detectPause();
    lastCheck_ = runtime_.now();
    checkProgress();
}

void InstanceLife::detectPause()
{
    if (runtime_.now() - lastCheck_ > settings_.maxPause + settings_.checkInterval) {
        ++pauses_;
        lastCheck_ = runtime_.now();
        onConfigUnconfirmed();
    }
}

void InstanceLife::checkProgress()
{
    const Duration passed = runtime_.now() - phaseStarted_;
    const bool refusing = run_.isIn("refusing");
    const bool graceExpired = refusing ? passed >= maxRequestTime_ + settings_.graceMargin : passed >= settings_.handOverTimeout;
    if (run_.isIn("leaving") && passed >= settings_.entriesMaxAge + settings_.leaveSpread) {
        handle("cachesExpired");
    } else if (refusing && passed >= settings_.minRefusalTime && port_.inFlight() == 0) {
        handle("idle");
    } else if (graceExpired && (refusing || run_.isIn("handingOver"))) {
        handle("graceExpired");
    }
}

void InstanceLife::requestConfirmation()
{
    port_.confirmConfiguration();
}

void InstanceLife::becomeReady()
{
    port_.setReady(true);
}

void InstanceLife::becomeUnready()
{
    port_.setReady(false);
}

void InstanceLife::announceLeaving()
{
    phaseStarted_ = runtime_.now();
    port_.announceLeaving();
}

void InstanceLife::refuseNewWork()
{
    phaseStarted_ = runtime_.now();
    port_.announceLeaving();
    port_.closeConnectionsAfterAnswers();
}

void InstanceLife::abandonWork()
{
    abandoned_ = port_.inFlight();
}

void InstanceLife::handOver()
{
    phaseStarted_ = runtime_.now();
    port_.handOver([this, alive = alive_] {
        if (*alive) {
            handle("handedOver");
        }
    });
}

void InstanceLife::exit()
{
    port_.exit(abandoned_);
}

} // namespace Burdock
