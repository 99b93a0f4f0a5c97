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

/// The indexes and servers of a fleet of fake servers.
struct FleetFile
{
    std::uint64_t seed = 1;
    std::vector<FakeIndexDeclaration> indexes;
    std::vector<FakeServerDeclaration> servers;
};

/// Parses the text of a fleet file (see packages/fakes/README.md for the format). Fails with BadRequest and a description.
Result<FleetFile> parseFleetFile(const std::string &text);

/// Reads shards from a JSON array; throws on malformed input.
std::vector<FakeShard> fakeShardsOf(const nlohmann::json &list);

} // namespace Burdock
