#include <burdock/policy/instancelife.h>

#include <utility>

namespace Burdock
{

namespace
{

/// What a caller that was refused by a starting instance waits before it tries again.
constexpr Duration RetryStarting = std::chrono::seconds(1);

} // namespace

const ChartTable<InstanceLife> &InstanceLife::table()
{
    static const ChartTable<InstanceLife> table(chartNamed("instancelife"),
                                                {{"askForConfirmation", &InstanceLife::askForConfirmation},
                                                 {"becomeReady", &InstanceLife::becomeReady},
                                                 {"becomeUnready", &InstanceLife::becomeUnready},
                                                 {"leaveEntries", &InstanceLife::leaveEntries},
                                                 {"refuseNewWork", &InstanceLife::refuseNewWork},
                                                 {"cutWork", &InstanceLife::cutWork},
                                                 {"handOver", &InstanceLife::handOver},
                                                 {"exit", &InstanceLife::exit}});
    return table;
}

InstanceLife::InstanceLife(Runtime &runtime, InstanceLifePort &port, const InstanceLifeSettings &settings)
    : runtime_(runtime)
    , port_(port)
    , settings_(settings)
    , run_(table(), *this)
    , lastBeat_(runtime.now())
    , since_(runtime.now())
{
    timer_ = runtime_.schedule(Duration{0}, [this] {
        askForConfirmation();
        beat();
    });
}

InstanceLife::~InstanceLife()
{
    *alive_ = false;
    runtime_.cancel(timer_);
}

void InstanceLife::confirmed()
{
    handle("confirmed");
}

void InstanceLife::doubted()
{
    handle("doubted");
}

void InstanceLife::terminate()
{
    handle("terminate");
}

void InstanceLife::setLongestWait(Duration wait)
{
    longestWait_ = wait;
}

std::optional<Failure> InstanceLife::refusal()
{
    noticePause();
    if (run_.in("ready") || run_.in("leaving")) {
        return std::nullopt;
    }
    if (run_.in("starting")) {
        return Failure{Errc::NotReady, Verdict::NotRun, "this instance has not confirmed its configuration yet; ask another one", RetryStarting};
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
    if (run_.finished()) {
        return;
    }
    const std::string &before = run_.state();
    run_.handle(event);
    if (&run_.state() != &before && changed_) {
        changed_(run_.state());
    }
}

void InstanceLife::beat()
{
    timer_ = runtime_.schedule(settings_.beat, [this] { beat(); });
    noticePause();
    lastBeat_ = runtime_.now();
    checkProgress();
}

void InstanceLife::noticePause()
{
    if (runtime_.now() - lastBeat_ > settings_.longestPause + settings_.beat) {
        ++pauses_;
        lastBeat_ = runtime_.now();
        doubted();
    }
}

void InstanceLife::checkProgress()
{
    const Duration passed = runtime_.now() - since_;
    const bool refusing = run_.in("refusing");
    const bool graceOver = refusing ? passed >= longestWait_ + settings_.graceMargin : passed >= settings_.handOverLimit;
    if (run_.in("leaving") && passed >= settings_.entriesMaxAge + settings_.leaveSpread) {
        handle("cachesExpired");
    } else if (refusing && passed >= settings_.linger && port_.inFlight() == 0) {
        handle("idle");
    } else if (graceOver && (refusing || run_.in("handingOver"))) {
        handle("graceOver");
    }
}

void InstanceLife::askForConfirmation()
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

void InstanceLife::leaveEntries()
{
    since_ = runtime_.now();
    port_.leaveEntries();
}

void InstanceLife::refuseNewWork()
{
    since_ = runtime_.now();
    port_.leaveEntries();
    port_.closeConnectionsAfterAnswers();
}

void InstanceLife::cutWork()
{
    cut_ = port_.inFlight();
}

void InstanceLife::handOver()
{
    since_ = runtime_.now();
    port_.handOver([this, alive = alive_] {
        if (*alive) {
            handle("handedOver");
        }
    });
}

void InstanceLife::exit()
{
    port_.exit(cut_);
}

} // namespace Burdock
