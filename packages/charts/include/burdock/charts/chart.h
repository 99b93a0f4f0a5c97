#pragma once

#include <burdock/values/failure.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The handling of one event in one state.
struct ChartTransition
{
    std::string event;
    /// The id of the next state. Empty for an internal transition, which keeps the state and runs no entry action.
    std::string target;
    /// The name of the owner's action; empty if there is none.
    std::string action;

    auto fields() const
    {
        return std::tie(event, target, action);
    }
};

/// One state of a chart.
struct ChartState
{
    std::string id;
    /// Whether the state is final: it has no transitions and refuses every event.
    bool final = false;
    /// The name of the entry action; empty if there is none.
    std::string entryAction;
    std::vector<ChartTransition> transitions;
    /// Events that can arrive in this state and are deliberately refused.
    std::vector<std::string> refused;

    auto fields() const
    {
        return std::tie(id, final, entryAction, transitions, refused);
    }

    /// Returns the transition for an event, or null if the state refuses it.
    const ChartTransition *transitionOf(std::string_view event) const;
};

/// A flat state chart, read from a subset of SCXML.
///
/// Supported are the element `scxml` with the attributes `initial` and `name`, its children `state` and `final`,
/// and in a state the elements `onentry` and `transition`. A transition has an `event` (names separated by spaces)
/// and an optional `target`. Guards, nested states and executable content are rejected. Two attributes use the
/// namespace prefix `burdock`: `burdock:action` on a transition or `onentry` names an action of the owner, and
/// `burdock:refuses` on a state lists the events that the state deliberately refuses.
class Chart
{
public:
    /// Parses a chart. Fails with BadRequest and the line number if the text is outside the subset.
    static Result<Chart> parse(std::string_view xml);

    Chart(std::string name, std::string initial, std::vector<ChartState> states);

    const std::string &name() const;
    const std::string &initial() const;
    const std::vector<ChartState> &states() const;

    /// Returns the state with the given id, or null if there is none.
    const ChartState *state(std::string_view id) const;

    /// Returns every event that at least one state handles, sorted.
    std::vector<std::string> events() const;

    /// Returns every action that the chart names, sorted.
    std::vector<std::string> actions() const;

private:
    std::string name_;
    std::string initial_;
    std::vector<ChartState> states_;
};

/// Returns the faults of a chart, one sentence each; empty for a well-formed chart.
///
/// Checks that the initial state and all targets exist, that ids are unique, that every state is reachable, that no
/// event has two transitions in one state, and that every state either handles or refuses each event of the chart.
std::vector<std::string> chartFaults(const Chart &chart);

/// Returns the chart `charts/NAME.scxml`, which is compiled into the program. Throws std::logic_error for an unknown
/// name or a malformed chart. Both are build faults that the first test run finds.
const Chart &chartNamed(std::string_view name);

/// Returns the names of all embedded charts.
std::vector<std::string> chartNames();

} // namespace Burdock
