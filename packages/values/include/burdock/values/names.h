#pragma once

#include <burdock/values/comparison.h>

#include <functional>
#include <string>
#include <tuple>

namespace Burdock
{

/// A name that cannot be mistaken for a name of another kind. `Tag` only tells the kinds apart.
template<class Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : text_(std::move(text))
    {
    }

    /// The name as text.
    const std::string &text() const
    {
        return text_;
    }

    /// True for a name that was never given.
    bool empty() const
    {
        return text_.empty();
    }

    /// The fields that comparison looks at.
    auto fields() const
    {
        return std::tie(text_);
    }

private:
    std::string text_;
};

/// One process of the system. An instance that restarts keeps its name and raises its incarnation.
using InstanceId = Name<struct InstanceTag>;
/// One backend server.
using ServerId = Name<struct ServerTag>;
/// One caller, as the declarations name it.
using CallerId = Name<struct CallerTag>;
/// One index that can be queried.
using IndexName = Name<struct IndexTag>;
/// One shard of an index. Unique within one shard map.
using ShardId = Name<struct ShardTag>;
/// A group of backend servers with the same slots and connections.
using FleetName = Name<struct FleetTag>;
/// A command that callers may ask for.
using CommandName = Name<struct CommandTag>;
/// A data centre.
using DataCentre = Name<struct DataCentreTag>;
/// A region; holds one data centre or more.
using Region = Name<struct RegionTag>;

} // namespace Burdock

namespace std
{
/// Names are keys of hash tables.
template<class Tag>
struct hash<Burdock::Name<Tag>>
{
    size_t operator()(const Burdock::Name<Tag> &name) const
    {
        return hash<string>()(name.text());
    }
};
} // namespace std
