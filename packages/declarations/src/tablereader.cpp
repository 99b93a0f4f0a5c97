#include "tablereader.h"

#include <burdock/declarations/nearestname.h>
#include <burdock/declarations/quantity.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::size_t MaxNameBytes = 64;

std::string quoted(std::string_view text)
{
    return "'" + std::string(text) + "'";
}

SourceLocation locationOf(const std::string &file, const toml::source_region &region)
{
    return {file, std::max(region.begin.line, 1U), std::max(region.begin.column, 1U)};
}

} // namespace

SourceLocation locationOf(const std::string &file, const toml::node &node)
{
    return locationOf(file, node.source());
}

bool isDeclarationName(const std::string &text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= MaxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

TableReader::TableReader(const toml::table &table, std::string file, std::string tableLabel, DeclarationFaults &faults)
    : table_(table)
    , file_(std::move(file))
    , tableLabel_(std::move(tableLabel))
    , faults_(faults)
{
}

SourceLocation TableReader::location() const
{
    return locationOf(file_, table_);
}

SourceLocation TableReader::location(std::string_view key) const
{
    const toml::node *node = table_.get(key);
    return node != nullptr ? Burdock::locationOf(file_, *node) : location();
}

bool TableReader::has(std::string_view key) const
{
    return table_.contains(key);
}

void TableReader::addFault(std::string_view key, std::string message)
{
    faults_.push_back({location(key), std::move(message), std::nullopt});
}

void TableReader::addTypeFault(std::string_view key, const std::string &expected)
{
    addFault(key, quoted(key) + " of " + tableLabel_ + " must be " + expected);
}

const toml::node *TableReader::findKey(std::string_view key, Need need)
{
    requestedKeys_.emplace_back(key);
    const toml::node *node = table_.get(key);
    if (node == nullptr && need == Need::Required) {
        addFault(key, tableLabel_ + " lacks " + quoted(key));
    }
    return node;
}

std::optional<std::string> TableReader::text(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text || text->empty()) {
        addTypeFault(key, "a text in quotes");
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> TableReader::name(std::string_view key, Need need)
{
    auto text = this->text(key, need);
    if (text && !isDeclarationName(*text)) {
        addTypeFault(key, "a name of letters, digits, '-', '_' and '.'");
        return std::nullopt;
    }
    return text;
}

std::optional<std::vector<std::string>> TableReader::names(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty()) {
        addTypeFault(key, "a list of names that is not empty");
        return std::nullopt;
    }
    for (const toml::node &element : *array) {
        const auto text = element.value_exact<std::string>();
        const SourceLocation at = Burdock::locationOf(file_, element);
        if (!text || !isDeclarationName(*text)) {
            faults_.push_back({at, quoted(key) + " of " + tableLabel_ + " must hold names of letters, digits, '-', '_' and '.'", std::nullopt});
        } else if (std::find(names.begin(), names.end(), *text) != names.end()) {
            faults_.push_back({at, quoted(key) + " of " + tableLabel_ + " holds " + quoted(*text) + " twice", std::nullopt});
        } else {
            names.push_back(*text);
        }
    }
    return names;
}

std::optional<bool> TableReader::flag(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto flag = node->value_exact<bool>();
    if (!flag) {
        addTypeFault(key, "true or false, without quotes");
    }
    return flag;
}

std::optional<std::int64_t> TableReader::integer(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number) {
        addTypeFault(key, "a whole number, without quotes");
    }
    return number;
}

std::optional<Duration> TableReader::duration(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto duration = parseDuration(node->value_exact<std::string>().value_or(""));
    if (!duration) {
        addTypeFault(key, "a duration with its unit (us, ms, s, m, h, d), such as \"80ms\"");
    }
    return duration;
}

std::optional<std::uint32_t> TableReader::count(std::string_view key, std::string_view unit, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto count = parseCount(node->value_exact<std::string>().value_or(""), unit);
    if (!count || *count == 0) {
        addTypeFault(key, "a count above zero with its unit, such as \"5 " + std::string(unit) + "s\"");
        return std::nullopt;
    }
    return count;
}

std::optional<double> TableReader::percentage(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto fraction = parsePercentage(node->value_exact<std::string>().value_or(""));
    if (!fraction) {
        addTypeFault(key, "a part from \"0%\" to \"100%\"");
    }
    return fraction;
}

std::optional<Rank> TableReader::rank(std::string_view key, Need need)
{
    const auto text = this->text(key, need);
    if (!text) {
        return std::nullopt;
    }
    const auto rank = rankFromName(*text);
    if (!rank) {
        std::vector<std::string> names;
        names.reserve(AllRanks.size());
        for (const Rank known : AllRanks) {
            names.emplace_back(rankName(known));
        }
        addFault(key, "there is no rank " + quoted(*text) + "; ranks are urgent, interactive and batch" + nearestNameHint(*text, names));
    }
    return rank;
}

const toml::table *TableReader::table(std::string_view key, Need need)
{
    const toml::node *node = findKey(key, need);
    if (node != nullptr && !node->is_table()) {
        addTypeFault(key, "a table");
    }
    return node != nullptr ? node->as_table() : nullptr;
}

void TableReader::eachTable(std::string_view key, const std::function<void(const toml::table &)> &read)
{
    const toml::node *node = findKey(key, Need::Optional);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty() || !array->is_homogeneous<toml::table>()) {
        addTypeFault(key, "written as [[" + std::string(key) + "]] sections");
        return;
    }
    for (const toml::node &element : *array) {
        read(*element.as_table());
    }
}

void TableReader::eachNamedTable(std::string_view key, const std::function<void(const std::string &, const toml::table &)> &read)
{
    const toml::table *tables = table(key, Need::Optional);
    if (tables == nullptr) {
        return;
    }
    for (const auto &[name, node] : *tables) {
        const std::string text(name.str());
        if (!node.is_table()) {
            faults_.push_back(
                {Burdock::locationOf(file_, node), "write [" + std::string(key) + ".NAME] sections; " + quoted(text) + " is no section", std::nullopt});
        } else if (!isDeclarationName(text)) {
            faults_.push_back({Burdock::locationOf(file_, node), quoted(text) + " is no name of letters, digits, '-', '_' and '.'", std::nullopt});
        } else {
            read(text, *node.as_table());
        }
    }
}

void TableReader::reportUnknownKeys()
{
    for (const auto &[key, node] : table_) {
        const std::string text(key.str());
        if (std::find(requestedKeys_.begin(), requestedKeys_.end(), text) == requestedKeys_.end()) {
            faults_.push_back(
                {locationOf(file_, key.source()), tableLabel_ + " has no key " + quoted(text) + nearestNameHint(text, requestedKeys_), std::nullopt});
        }
    }
}

} // namespace Burdock
