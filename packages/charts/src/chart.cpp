#include <burdock/charts/chart.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Burdock
{

const ChartTransition *ChartState::transitionOf(std::string_view event) const
{
    const auto found = std::find_if(transitions.begin(), transitions.end(), [event](const auto &each) { return each.event == event; });
    return found == transitions.end() ? nullptr : &*found;
}

Chart::Chart(std::string name, std::string initial, std::vector<ChartState> states)
    : name_(std::move(name))
    , initial_(std::move(initial))
    , states_(std::move(states))
{
}

const std::string &Chart::name() const
{
    return name_;
}

const std::string &Chart::initial() const
{
    return initial_;
}

const std::vector<ChartState> &Chart::states() const
{
    return states_;
}

const ChartState *Chart::state(std::string_view id) const
{
    const auto found = std::find_if(states_.begin(), states_.end(), [id](const auto &each) { return each.id == id; });
    return found == states_.end() ? nullptr : &*found;
}

std::vector<std::string> Chart::events() const
{
    std::set<std::string> events;
    for (const ChartState &state : states_) {
        for (const ChartTransition &transition : state.transitions) {
            events.insert(transition.event);
        }
    }
    return {events.begin(), events.end()};
}

std::vector<std::string> Chart::actions() const
{
    std::set<std::string> actions;
    for (const ChartState &state : states_) {
        actions.insert(state.entryAction);
        for (const ChartTransition &transition : state.transitions) {
            actions.insert(transition.action);
        }
    }
    actions.erase("");
    return {actions.begin(), actions.end()};
}

} // namespace Burdock
