#pragma once

#include <burdock/declarations/fault.h>
#include <burdock/values/rank.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace Burdock
{

/// Whether a key is required.
enum class Need {
    Optional,
    Required,
};

/// The location of a node.
SourceLocation locationOf(const std::string &file, const toml::node &node);

/// Whether a text is a valid name of a caller, an index, a server or another declared object.
bool isDeclarationName(const std::string &text);

/// Reads the keys of a TOML table and adds a fault for each key that is missing, of another type or unknown.
class TableReader
{
public:
    /// `tableLabel` names the table in messages, such as "the fleet 'parts-desk'".
    TableReader(const toml::table &table, std::string file, std::string tableLabel, DeclarationFaults &faults);

    /// The location of the table, or of one of its keys if the key is present.
    SourceLocation location() const;
    SourceLocation location(std::string_view key) const;

    bool has(std::string_view key) const;

    std::optional<std::string> text(std::string_view key, Need need);
    std::optional<std::string> name(std::string_view key, Need need);
    std::optional<std::vector<std::string>> names(std::string_view key, Need need);
    std::optional<bool> flag(std::string_view key, Need need);
    std::optional<std::int64_t> integer(std::string_view key, Need need);
    std::optional<Duration> duration(std::string_view key, Need need);
    std::optional<std::uint32_t> count(std::string_view key, std::string_view unit, Need need);
    std::optional<double> percentage(std::string_view key, Need need);
    std::optional<Rank> rank(std::string_view key, Need need);
    const toml::table *table(std::string_view key, Need need);

    /// Calls `read` for each table of an array of tables.
    void eachTable(std::string_view key, const std::function<void(const toml::table &)> &read);

    /// Calls `read` with the name and content of each table of a table of tables, such as `[fleet.parts-desk]`.
    void eachNamedTable(std::string_view key, const std::function<void(const std::string &, const toml::table &)> &read);

    /// Adds a fault for every key that was not read.
    void reportUnknownKeys();

    /// Adds a fault at a key, or at the table if the key is missing.
    void addFault(std::string_view key, std::string message);

private:
    const toml::node *findKey(std::string_view key, Need need);
    void addTypeFault(std::string_view key, const std::string &expected);

    const toml::table &table_;
    std::string file_;
    std::string tableLabel_;
    DeclarationFaults &faults_;
    std::vector<std::string> requestedKeys_;
};

} // namespace Burdock
