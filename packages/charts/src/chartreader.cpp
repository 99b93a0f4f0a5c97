#include <burdock/charts/chart.h>

#include <algorithm>
#include <pugixml.hpp>
#include <sstream>
#include <utility>

namespace Burdock
{

namespace
{

constexpr const char *ActionAttribute = "burdock:action";
constexpr const char *RefusesAttribute = "burdock:refuses";

std::vector<std::string> splitWords(const char *text)
{
    std::istringstream stream(text);
    std::vector<std::string> all;
    for (std::string word; stream >> word;) {
        all.push_back(word);
    }
    return all;
}

/// Parses one chart and keeps the first error.
class Reader
{
public:
    explicit Reader(std::string_view xml)
        : xml_(xml)
    {
    }

    Result<Chart> read()
    {
        pugi::xml_document document;
        const pugi::xml_parse_result parsed = document.load_buffer(xml_.data(), xml_.size());
        if (!parsed) {
            return notRun(Errc::BadRequest, lineOf(parsed.offset) + parsed.description());
        }
        const pugi::xml_node root = document.document_element();
        if (std::string_view(root.name()) != "scxml") {
            fail(root, "the root element must be 'scxml'");
        }
        checkAttributes(root, {"xmlns", "xmlns:burdock", "version", "datamodel", "name", "initial"});
        std::vector<ChartState> states;
        for (const pugi::xml_node node : root.children()) {
            states.push_back(readState(node));
        }
        if (!error_.empty()) {
            return notRun(Errc::BadRequest, error_);
        }
        return Chart(root.attribute("name").value(), root.attribute("initial").value(), std::move(states));
    }

private:
    ChartState readState(const pugi::xml_node &node)
    {
        ChartState state;
        const std::string_view kind = node.name();
        if (kind != "state" && kind != "final") {
            fail(node, "only 'state' and 'final' may stand here");
            return state;
        }
        checkAttributes(node, {"id", RefusesAttribute});
        state.id = node.attribute("id").value();
        state.final = kind == "final";
        state.refused = splitWords(node.attribute(RefusesAttribute).value());
        for (const pugi::xml_node child : node.children()) {
            readChild(child, state);
        }
        return state;
    }

    void readChild(const pugi::xml_node &node, ChartState &state)
    {
        if (node.first_child()) {
            fail(node, "executable content is not part of the subset");
        }
        const std::string_view kind = node.name();
        if (kind == "onentry") {
            checkAttributes(node, {ActionAttribute});
            state.entryAction = node.attribute(ActionAttribute).value();
            return;
        }
        if (kind != "transition" || state.final) {
            fail(node, "only 'transition' and 'onentry' may stand here, and no transition in a final state");
            return;
        }
        checkAttributes(node, {"event", "target", ActionAttribute});
        const std::vector<std::string> events = splitWords(node.attribute("event").value());
        if (events.empty() || events.front().find('*') != std::string::npos) {
            fail(node, "a transition names its events");
        }
        for (const std::string &event : events) {
            state.transitions.push_back({event, node.attribute("target").value(), node.attribute(ActionAttribute).value()});
        }
    }

    void checkAttributes(const pugi::xml_node &node, std::initializer_list<std::string_view> known)
    {
        for (const pugi::xml_attribute attribute : node.attributes()) {
            if (std::find(known.begin(), known.end(), attribute.name()) == known.end()) {
                fail(node, std::string("attribute '") + attribute.name() + "' is not part of the subset");
            }
        }
    }

    void fail(const pugi::xml_node &node, const std::string &reason)
    {
        if (error_.empty()) {
            error_ = lineOf(node.offset_debug()) + "'" + node.name() + "': " + reason;
        }
    }

    std::string lineOf(std::ptrdiff_t offset) const
    {
        const auto end = xml_.begin() + std::clamp<std::ptrdiff_t>(offset, 0, static_cast<std::ptrdiff_t>(xml_.size()));
        return "line " + std::to_string(1 + std::count(xml_.begin(), end, '\n')) + ": ";
    }

    std::string_view xml_;
    std::string error_;
};

} // namespace

Result<Chart> Chart::parse(std::string_view xml)
{
    return Reader(xml).read();
}

} // namespace Burdock
