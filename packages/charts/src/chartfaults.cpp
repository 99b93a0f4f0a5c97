#include <burdock/charts/chart.h>

#include <algorithm>
#include <set>

namespace Burdock
{

namespace
{

using Faults = std::vector<std::string>;

void checkTransitions(const Chart &chart, const ChartState &state, Faults &faults)
{
    std::set<std::string> seen;
    for (const ChartTransition &transition : state.transitions) {
        if (!seen.insert(transition.event).second) {
            faults.push_back("state '" + state.id + "' has two transitions for '" + transition.event + "'");
        }
        if (!transition.target.empty() && chart.state(transition.target) == nullptr) {
            faults.push_back("state '" + state.id + "' leads to the unknown state '" + transition.target + "'");
        }
    }
}

void checkEvents(const std::vector<std::string> &events, const ChartState &state, Faults &faults)
{
    if (state.final) {
        return;
    }
    const std::set<std::string> refused(state.refused.begin(), state.refused.end());
    for (const std::string &event : events) {
        const bool handled = state.transitionOf(event) != nullptr;
        if (handled == (refused.count(event) > 0)) {
            faults.push_back("state '" + state.id + "' must either handle or refuse '" + event + "'");
        }
    }
    for (const std::string &event : refused) {
        if (std::find(events.begin(), events.end(), event) == events.end()) {
            faults.push_back("state '" + state.id + "' refuses the unknown event '" + event + "'");
        }
    }
}

std::set<std::string> reachableStates(const Chart &chart)
{
    std::set<std::string> found;
    std::vector<std::string> pending{chart.initial()};
    while (!pending.empty()) {
        const std::string id = pending.back();
        pending.pop_back();
        const ChartState *state = chart.state(id);
        if (state == nullptr || !found.insert(id).second) {
            continue;
        }
        for (const ChartTransition &transition : state->transitions) {
            pending.push_back(transition.target);
        }
    }
    return found;
}

} // namespace

std::vector<std::string> chartFaults(const Chart &chart)
{
    Faults faults;
    if (chart.state(chart.initial()) == nullptr) {
        faults.push_back("the initial state '" + chart.initial() + "' is unknown");
    }
    const std::vector<std::string> events = chart.events();
    const std::set<std::string> reached = reachableStates(chart);
    std::set<std::string> ids;
    for (const ChartState &state : chart.states()) {
        if (state.id.empty() || !ids.insert(state.id).second) {
            faults.push_back("the id '" + state.id + "' is empty or stands twice");
        }
        if (reached.count(state.id) == 0) {
            faults.push_back("state '" + state.id + "' cannot be reached");
        }
        checkTransitions(chart, state, faults);
        checkEvents(events, state, faults);
    }
    return faults;
}

} // namespace Burdock
