#pragma once

#include <burdock/declarations/configreader.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Burdock
{

/// A configuration to publish, with the data of its audit record.
struct PublishRequest
{
    DeclarationSet set;
    /// The version that the files were changed from.
    std::uint64_t base = 0;
    /// Identifies this publish. Repeating an id returns how the earlier attempt ended and never publishes twice.
    std::string publishId;
    std::string who;
    std::string why;
};

/// The outcome of a publish.
enum class PublishOutcome {
    /// The configuration and its audit record are in the store.
    Accepted,
    /// The store already contains the same files; nothing was written.
    Unchanged,
    /// Another change was published first; nothing was written.
    Conflict,
};

struct PublishReport
{
    PublishOutcome outcome = PublishOutcome::Accepted;
    /// For Accepted the version of the request, for Conflict and Unchanged the version in the store.
    std::uint64_t version = 0;
    /// For Accepted the changes of the publish, for Conflict the diff from the store's files to those of the request.
    std::string diff;

    auto fields() const
    {
        return std::tie(outcome, version, diff);
    }
};

/// Publishes configurations, each in one conditional transaction of head, changed files and audit record.
///
/// After a lost reply the outcome is read from the store. All attempts have the same condition, so at most one takes
/// effect.
class Publisher
{
public:
    using Callback = std::function<void(Result<PublishReport>)>;

    /// Failed attempts are repeated until `timeout`, with increasing delays.
    Publisher(Runtime &runtime, Store &store, Duration timeout);

    /// Publishes a configuration. The verdict of a failure says whether the change may have been accepted; after
    /// MayHaveRun the same request with the same publish id returns the outcome.
    void publish(PublishRequest request, Callback done);

private:
    class Attempt;

    Runtime &runtime_;
    Store &store_;
    ConfigReader reader_;
    Duration timeout_;
};

} // namespace Burdock
