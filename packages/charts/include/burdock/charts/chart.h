#pragma once

#include <burdock/values/failure.h>

#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Burdock
{

/// What one event does in one state.
struct ChartTransition
{
    std::string event;
    /// The next state; empty where the state is kept and not entered anew.
    std::string target;
    /// The name of the owner's action; empty where there is none.
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
    /// A final state has no transitions and refuses every event.
    bool final = false;
    /// The name of the action that runs on entry; empty where there is none.
    std::string entryAction;
    std::vector<ChartTransition> transitions;
    /// Events that may come in this state and are refused on purpose.
    std::vector<std::string> refused;

    auto fields() const
    {
        return std::tie(id, final, entryAction, transitions, refused);
    }

    /// The transition of an event; null where the state refuses it.
    const ChartTransition *transitionOf(std::string_view event) const;
};

/// A flat state chart, read from a subset of SCXML.
///
/// The subset: `scxml` with `initial` and `name`; in it `state` and `final`; in a state `transition`
/// with `event` (names separated by spaces) and an optional `target`, and `onentry`. Guards, nested states and
/// executable content are refused. Two attributes stand in the namespace prefix `burdock`:
/// `burdock:action` on a transition or `onentry` names an action of the owner, and `burdock:refuses` on a
/// state lists the events that it refuses on purpose.
class Chart
{
public:
    /// Reads a chart's text; BadRequest with the line where it is outside the subset.
    static Result<Chart> parse(std::string_view xml);

    Chart(std::string name, std::string initial, std::vector<ChartState> states);

    const std::string &name() const;
    const std::string &initial() const;
    const std::vector<ChartState> &states() const;

    /// The state of an id; null where there is none.
    const ChartState *state(std::string_view id) const;

    /// Every event that some state handles, sorted.
    std::vector<std::string> events() const;

    /// Every action that the chart names, sorted.
    std::vector<std::string> actions() const;

private:
    std::string name_;
    std::string initial_;
    std::vector<ChartState> states_;
};

/// What is wrong with a chart, one sentence each; empty for a well-formed chart.
///
/// Checked: the initial state and all targets exist, ids are unique, every state is reachable, no event has
/// two transitions in one state, and every state either handles or refuses each event of the chart.
std::vector<std::string> chartFaults(const Chart &chart);

/// The chart `charts/NAME.scxml`, which is compiled into the program. Throws std::logic_error for an unknown name
/// or a chart that is not well formed: both are faults of the build, found by the first test.
const Chart &chartNamed(std::string_view name);

/// The names of all charts that are compiled in.
std::vector<std::string> chartNames();

} // namespace Burdock
