#pragma once

#include <burdock/fakes/fakebackend.h>

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

namespace Burdock
{

/// One index of a fleet file.
struct FakeIndexDeclaration
{
    IndexName name;
    std::uint32_t documents = 0;
    ScoreShape shape = ScoreShape::Even;
    VersionWindow versions;
};

/// A whole fleet of stand-in servers.
struct FleetFile
{
    std::uint64_t seed = 1;
    std::vector<FakeIndexDeclaration> indexes;
    std::vector<FakeServerDeclaration> servers;
};

/// Reads a fleet file's text; BadRequest names what is wrong. Its form stands in packages/fakes/README.md.
Result<FleetFile> parseFleetFile(const std::string &text);

/// The shards of a JSON list; throws on malformed input.
std::vector<FakeShard> fakeShardsOf(const nlohmann::json &list);

} // namespace Burdock
