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

SourcePlace placeOf(const std::string &file, const toml::source_region &region)
{
    return {file, std::max(region.begin.line, 1U), std::max(region.begin.column, 1U)};
}

} // namespace

SourcePlace placeOf(const std::string &file, const toml::node &node)
{
    return placeOf(file, node.source());
}

bool isDeclarationName(const std::string &text)
{
    const auto allowed = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= MaxNameBytes && std::all_of(text.begin(), text.end(), allowed);
}

TableReader::TableReader(const toml::table &table, std::string file, std::string what, DeclarationFaults &faults)
    : table_(table)
    , file_(std::move(file))
    , what_(std::move(what))
    , faults_(faults)
{
}

SourcePlace TableReader::place() const
{
    return placeOf(file_, table_);
}

SourcePlace TableReader::place(std::string_view key) const
{
    const toml::node *node = table_.get(key);
    return node != nullptr ? Burdock::placeOf(file_, *node) : place();
}

bool TableReader::has(std::string_view key) const
{
    return table_.contains(key);
}

void TableReader::fault(std::string_view key, std::string message)
{
    faults_.push_back({place(key), std::move(message), std::nullopt});
}

void TableReader::wrongKind(std::string_view key, const std::string &expected)
{
    fault(key, quoted(key) + " of " + what_ + " must be " + expected);
}

const toml::node *TableReader::find(std::string_view key, Need need)
{
    known_.emplace_back(key);
    const toml::node *node = table_.get(key);
    if (node == nullptr && need == Need::Required) {
        fault(key, what_ + " lacks " + quoted(key));
    }
    return node;
}

std::optional<std::string> TableReader::text(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    auto text = node->value_exact<std::string>();
    if (!text || text->empty()) {
        wrongKind(key, "a text in quotes");
        return std::nullopt;
    }
    return text;
}

std::optional<std::string> TableReader::name(std::string_view key, Need need)
{
    auto text = this->text(key, need);
    if (text && !isDeclarationName(*text)) {
        wrongKind(key, "a name of letters, digits, '-', '_' and '.'");
        return std::nullopt;
    }
    return text;
}

std::optional<std::vector<std::string>> TableReader::names(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    std::vector<std::string> names;
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty()) {
        wrongKind(key, "a list of names that is not empty");
        return std::nullopt;
    }
    for (const toml::node &element : *array) {
        const auto text = element.value_exact<std::string>();
        const SourcePlace at = Burdock::placeOf(file_, element);
        if (!text || !isDeclarationName(*text)) {
            faults_.push_back({at, quoted(key) + " of " + what_ + " must hold names of letters, digits, '-', '_' and '.'", std::nullopt});
        } else if (std::find(names.begin(), names.end(), *text) != names.end()) {
            faults_.push_back({at, quoted(key) + " of " + what_ + " holds " + quoted(*text) + " twice", std::nullopt});
        } else {
            names.push_back(*text);
        }
    }
    return names;
}

std::optional<bool> TableReader::flag(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto flag = node->value_exact<bool>();
    if (!flag) {
        wrongKind(key, "true or false, without quotes");
    }
    return flag;
}

std::optional<std::int64_t> TableReader::integer(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number) {
        wrongKind(key, "a whole number, without quotes");
    }
    return number;
}

std::optional<Duration> TableReader::duration(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto duration = parseDuration(node->value_exact<std::string>().value_or(""));
    if (!duration) {
        wrongKind(key, "a duration with its unit (us, ms, s, m, h, d), such as \"80ms\"");
    }
    return duration;
}

std::optional<std::uint32_t> TableReader::count(std::string_view key, std::string_view unit, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto count = parseCount(node->value_exact<std::string>().value_or(""), unit);
    if (!count || *count == 0) {
        wrongKind(key, "a count above zero with its unit, such as \"5 " + std::string(unit) + "s\"");
        return std::nullopt;
    }
    return count;
}

std::optional<double> TableReader::percentage(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node == nullptr) {
        return std::nullopt;
    }
    const auto part = parsePercentage(node->value_exact<std::string>().value_or(""));
    if (!part) {
        wrongKind(key, "a part from \"0%\" to \"100%\"");
    }
    return part;
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
        fault(key, "there is no rank " + quoted(*text) + "; ranks are urgent, interactive and batch" + nearestNameHint(*text, names));
    }
    return rank;
}

const toml::table *TableReader::table(std::string_view key, Need need)
{
    const toml::node *node = find(key, need);
    if (node != nullptr && !node->is_table()) {
        wrongKind(key, "a table");
    }
    return node != nullptr ? node->as_table() : nullptr;
}

void TableReader::eachTable(std::string_view key, const std::function<void(const toml::table &)> &read)
{
    const toml::node *node = find(key, Need::Optional);
    if (node == nullptr) {
        return;
    }
    const toml::array *array = node->as_array();
    if (array == nullptr || array->empty() || !array->is_homogeneous<toml::table>()) {
        wrongKind(key, "written as [[" + std::string(key) + "]] sections");
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
                {Burdock::placeOf(file_, node), "write [" + std::string(key) + ".NAME] sections; " + quoted(text) + " is no section", std::nullopt});
        } else if (!isDeclarationName(text)) {
            faults_.push_back({Burdock::placeOf(file_, node), quoted(text) + " is no name of letters, digits, '-', '_' and '.'", std::nullopt});
        } else {
            read(text, *node.as_table());
        }
    }
}

void TableReader::refuseUnknownKeys()
{
    for (const auto &[key, node] : table_) {
        const std::string text(key.str());
        if (std::find(known_.begin(), known_.end(), text) == known_.end()) {
            faults_.push_back({placeOf(file_, key.source()), what_ + " has no key " + quoted(text) + nearestNameHint(text, known_), std::nullopt});
        }
    }
}

} // namespace Burdock
