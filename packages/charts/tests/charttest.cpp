#include <burdock/charts/chart.h>
#include <burdock/charts/chartrun.h>

#include <catch2/catch.hpp>

using namespace Burdock;

namespace
{

std::string wrap(const std::string &body, const std::string &initial = "a")
{
    return "<scxml name='door' initial='" + initial + "'>" + body + "</scxml>";
}

const char *const DoorStates = R"(
    <state id="a">
        <transition event="open" target="b" burdock:action="unlock"/>
        <transition event="knock" burdock:action="listen"/>
    </state>
    <state id="b" burdock:refuses="open knock">
        <onentry burdock:action="ring"/>
        <transition event="leave" target="c"/>
    </state>
    <final id="c"/>)";

std::string door()
{
    std::string text = wrap(DoorStates);
    text.replace(text.find("<state id=\"a\">"), 14, "<state id=\"a\" burdock:refuses=\"leave\">");
    return text;
}

/// Records the actions that run and can raise an event from within `unlock`.
struct Door
{
    void unlock()
    {
        log += "unlock in " + run.state() + ";";
        if (leaveOnUnlock) {
            run.handle("leave");
        }
    }
    void ring()
    {
        log += "ring;";
    }
    void listen()
    {
        log += "listen;";
    }

    explicit Door(const ChartTable<Door> &table)
        : run(table, *this)
    {
    }

    ChartRun<Door> run;
    bool leaveOnUnlock = false;
    std::string log;
};

} // namespace

TEST_CASE("Every embedded chart is well formed", "[charts]")
{
    REQUIRE_FALSE(chartNames().empty());
    for (const std::string &name : chartNames()) {
        INFO(name);
        const Chart &chart = chartNamed(name);
        CHECK(chart.name() == name);
        CHECK(chartFaults(chart) == std::vector<std::string>{});
        for (const ChartState &state : chart.states()) {
            for (const std::string &event : chart.events()) {
                INFO(state.id << " " << event);
                const bool refused = std::count(state.refused.begin(), state.refused.end(), event) == 1;
                CHECK((state.final || (state.transitionOf(event) != nullptr) != refused));
            }
        }
    }
}

TEST_CASE("chartFaults reports each kind of fault", "[charts]")
{
    struct Case
    {
        std::string body;
        std::string fault;
    };
    const std::vector<Case> cases{
        {"<state id='a'/><state id='b'/>", "state 'b' cannot be reached"},
        {"<state id='a'><transition event='e' target='x'/></state>", "state 'a' leads to the unknown state 'x'"},
        {"<state id='a'><transition event='e'/></state><state id='a' burdock:refuses='e'/>", "the id 'a' is empty or stands twice"},
        {"<state id='a'><transition event='e e'/></state>", "state 'a' has two transitions for 'e'"},
        {"<state id='a'><transition event='e' target='b'/></state><state id='b'/>", "state 'b' must either handle or refuse 'e'"},
        {"<state id='a' burdock:refuses='e'><transition event='e'/></state>", "state 'a' must either handle or refuse 'e'"},
        {"<state id='a' burdock:refuses='e'/>", "state 'a' refuses the unknown event 'e'"},
        {"<state id='z'/>", "the initial state 'a' is unknown"},
    };
    for (const Case &each : cases) {
        INFO(each.body);
        const auto chart = Chart::parse(wrap(each.body));
        REQUIRE(chart);
        const auto faults = chartFaults(*chart);
        CHECK_THAT(faults, Catch::Matchers::VectorContains(each.fault));
    }
    CHECK(chartFaults(*Chart::parse(door())).empty());
}

TEST_CASE("Parsing rejects text outside the SCXML subset with the line number", "[charts]")
{
    const std::vector<std::string> texts{
        "",
        "<scxml",
        "<html/>",
        wrap("\n<parallel id='a'/>"),
        wrap("\n<state id='a'><state id='b'/></state>"),
        wrap("\n<state id='a'><transition event='e' cond='x'/></state>"),
        wrap("\n<state id='a'><transition event='*'/></state>"),
        wrap("\n<state id='a'><transition/></state>"),
        wrap("\n<state id='a'><onentry><log/></onentry></state>"),
        wrap("\n<final id='a'><transition event='e'/></final>"),
    };
    for (const std::string &text : texts) {
        INFO(text);
        const auto chart = Chart::parse(text);
        REQUIRE_FALSE(chart);
        CHECK(chart.error().code == Errc::BadRequest);
        CHECK_THAT(chart.error().message, Catch::Matchers::StartsWith(text.find('\n') == std::string::npos ? "line 1: " : "line 2: "));
    }
}

TEST_CASE("A chart run performs the actions of its chart", "[charts]")
{
    const auto chart = Chart::parse(door());
    REQUIRE(chart);
    const ChartTable<Door> table(*chart, {{"unlock", &Door::unlock}, {"ring", &Door::ring}, {"listen", &Door::listen}});
    Door owner(table);

    SECTION("a transition without a target keeps the state")
    {
        CHECK(owner.run.handle("knock"));
        CHECK(owner.run.isIn("a"));
        CHECK(owner.log == "listen;");
    }
    SECTION("a refused event is counted and changes nothing")
    {
        CHECK_FALSE(owner.run.handle("leave"));
        CHECK_FALSE(owner.run.handle("unheard"));
        CHECK(owner.run.refusedCount() == 2);
        CHECK(owner.run.isIn("a"));
        CHECK(owner.log.empty());
    }
    SECTION("the transition's action runs before the entry action, both in the new state")
    {
        CHECK(owner.run.handle("open"));
        CHECK(owner.log == "unlock in b;ring;");
    }
    SECTION("an event raised by an action is handled after the current one")
    {
        owner.leaveOnUnlock = true;
        CHECK(owner.run.handle("open"));
        CHECK(owner.log == "unlock in b;ring;");
        CHECK(owner.run.isFinished());
        CHECK_FALSE(owner.run.handle("open"));
    }
}

TEST_CASE("A chart table rejects actions that differ from the chart", "[charts]")
{
    const auto chart = Chart::parse(door());
    REQUIRE(chart);
    using Table = ChartTable<Door>;
    CHECK_THROWS_AS(Table(*chart, {{"unlock", &Door::unlock}, {"ring", &Door::ring}}), std::logic_error);
    CHECK_THROWS_AS(Table(*chart, {{"unlock", &Door::unlock}, {"ring", &Door::ring}, {"listen", &Door::listen}, {"sing", &Door::ring}}), std::logic_error);
    CHECK_THROWS_AS(chartNamed("no such chart"), std::logic_error);
}
