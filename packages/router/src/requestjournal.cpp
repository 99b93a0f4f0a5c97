#include <burdock/router/requestjournal.h>

namespace Burdock
{

namespace
{

std::string_view nameOf(std::string_view decision)
{
    return decision == "limit" ? "request.limited" : decision == "place" ? "request.unplaced" : decision == "crash" ? "request.crashed" : "request.repeated";
}

} // namespace

RequestJournal::RequestJournal(DecisionLog &log)
    : log_(log)
{
}

void RequestJournal::note(const RoutingEvent &event)
{
    log_.write(DecisionPriority::Problem,
               nameOf(event.decision),
               {{"request", event.request},
                {"decision", event.decision},
                {"service", event.service},
                {"server", event.server},
                {"reason", event.reason},
                {"expectedUs", event.expected.count()},
                {"workUs", event.work.count()},
                {"ageUs", event.age.count()}});
}

void RequestJournal::notePassedOn(const PassOnEvent &event)
{
    const bool served = event.outcome == "passed" || event.outcome == "gathered";
    log_.write(served ? DecisionPriority::Routine : DecisionPriority::Problem,
               "request.passedOn",
               {{"request", event.request},
                {"to", event.peer.text()},
                {"why", event.reason},
                {"outcome", event.outcome},
                {"reason", event.detail},
                {"tookUs", event.took.count()},
                {"ageUs", event.age.count()}});
}

} // namespace Burdock
