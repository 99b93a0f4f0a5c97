#pragma once

#include <burdock/values/comparison.h>

#include <functional>
#include <string>
#include <tuple>

namespace Burdock
{

/// A strongly typed name. `Tag` only distinguishes the types.
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

    /// Whether the name is empty, which means that it was not set.
    bool empty() const
    {
        return text_.empty();
    }

    /// The fields used for comparison.
    auto fields() const
    {
        return std::tie(text_);
    }

private:
    std::string text_;
};

/// One process of the system. After a restart an instance keeps its name and increases its incarnation.
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
/// A command that callers can request.
using CommandName = Name<struct CommandTag>;
/// A data centre.
using DataCentre = Name<struct DataCentreTag>;
/// A region with one or more data centres.
using Region = Name<struct RegionTag>;

} // namespace Burdock

namespace std
{
/// Hashes a name, so that names can be keys of hash tables.
template<class Tag>
struct hash<Burdock::Name<Tag>>
{
    size_t operator()(const Burdock::Name<Tag> &name) const
    {
        return hash<string>()(name.text());
    }
};
} // namespace std
