#pragma once

#include <burdock/charts/chart.h>

#include <algorithm>
#include <cstdint>
#include <initializer_list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Burdock
{

/// Maps the name of a chart action to the member function that performs it.
template<class Owner>
struct ChartAction
{
    std::string_view name;
    void (Owner::*run)();
};

/// A chart bound to the member functions of its owner's type. Created once per type and shared by all its runs.
template<class Owner>
class ChartTable
{
public:
    /// Throws std::logic_error if the action names of the chart and of the table differ.
    ChartTable(const Chart &chart, std::initializer_list<ChartAction<Owner>> actions)
        : chart_(chart)
    {
        checkNames(actions);
        for (const ChartState &state : chart.states()) {
            rows_.push_back(bind(state, actions));
        }
        initial_ = rowOf(chart.initial());
    }

    const Chart &chart() const
    {
        return chart_;
    }

private:
    template<class>
    friend class ChartRun;

    using Action = void (Owner::*)();

    struct BoundTransition
    {
        std::string_view event;
        std::size_t target;
        bool changesState;
        Action run;
    };

    struct Row
    {
        std::vector<BoundTransition> steps;
        Action entry;
    };

    void checkNames(std::initializer_list<ChartAction<Owner>> actions) const
    {
        std::vector<std::string> bound;
        for (const auto &action : actions) {
            bound.emplace_back(action.name);
        }
        std::sort(bound.begin(), bound.end());
        if (bound != chart_.actions()) {
            throw std::logic_error("the actions of chart '" + chart_.name() + "' and its table differ");
        }
    }

    Row bind(const ChartState &state, std::initializer_list<ChartAction<Owner>> actions) const
    {
        Row row{{}, actionOf(state.entryAction, actions)};
        for (const ChartTransition &transition : state.transitions) {
            const bool changesState = !transition.target.empty();
            row.steps.push_back({transition.event, changesState ? rowOf(transition.target) : 0, changesState, actionOf(transition.action, actions)});
        }
        return row;
    }

    static Action actionOf(std::string_view name, std::initializer_list<ChartAction<Owner>> actions)
    {
        for (const auto &action : actions) {
            if (action.name == name) {
                return action.run;
            }
        }
        return nullptr;
    }

    std::size_t rowOf(std::string_view id) const
    {
        return static_cast<std::size_t>(chart_.state(id) - chart_.states().data());
    }

    const Chart &chart_;
    std::vector<Row> rows_;
    std::size_t initial_ = 0;
};

/// The execution of a chart for one owner object.
///
/// An event changes to its target, runs the transition's action, then the target's entry action. An event raised by an
/// action is handled after the current one. An action must not destroy the run. The initial state's entry action
/// does not run.
template<class Owner>
class ChartRun
{
public:
    ChartRun(const ChartTable<Owner> &table, Owner &owner)
        : table_(&table)
        , owner_(&owner)
        , current_(table.initial_)
    {
    }

    /// Handles an event. Returns false and counts the event if the state refuses it. An event raised by an action is
    /// queued, and the call returns true.
    bool handle(std::string_view event)
    {
        if (running_) {
            queued_.emplace_back(event);
            return true;
        }
        running_ = true;
        const bool isHandled = step(event);
        while (!queued_.empty()) {
            const std::string next = std::move(queued_.front());
            queued_.erase(queued_.begin());
            step(next);
        }
        running_ = false;
        return isHandled;
    }

    /// Returns the id of the current state.
    const std::string &state() const
    {
        return table_->chart_.states()[current_].id;
    }

    /// Whether the state with the given id is the current one.
    bool isIn(std::string_view id) const
    {
        return state() == id;
    }

    /// Whether the current state is final.
    bool isFinished() const
    {
        return table_->chart_.states()[current_].final;
    }

    /// The number of events refused so far.
    std::uint32_t refusedCount() const
    {
        return refusedCount_;
    }

private:
    bool step(std::string_view event)
    {
        const auto &steps = table_->rows_[current_].steps;
        const auto found = std::find_if(steps.begin(), steps.end(), [event](const auto &each) { return each.event == event; });
        if (found == steps.end()) {
            ++refusedCount_;
            return false;
        }
        if (found->changesState) {
            current_ = found->target;
        }
        call(found->run);
        if (found->changesState) {
            call(table_->rows_[found->target].entry);
        }
        return true;
    }

    void call(void (Owner::*action)())
    {
        if (action != nullptr) {
            (owner_->*action)();
        }
    }

    const ChartTable<Owner> *table_;
    Owner *owner_;
    std::size_t current_;
    std::uint32_t refusedCount_ = 0;
    bool running_ = false;
    std::vector<std::string> queued_;
};

} // namespace Burdock
