#pragma once

#include <burdock/declarations/configreader.h>
#include <burdock/values/runtime.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Burdock
{

/// A configuration to publish.
struct PublishRequest
{
    DeclarationSet set;
    /// The version that the files were changed from.
    std::uint64_t base = 0;
    /// Names this publish. The same id again asks how the earlier attempt ended, and never publishes twice.
    std::string publishId;
    std::string who;
    std::string why;
};

/// How a publish ended.
enum class PublishOutcome {
    /// It is in the store, with its audit record.
    Accepted,
    /// The store already holds the same files; nothing was written.
    Unchanged,
    /// Another change came first; nothing was written.
    Conflict,
};

struct PublishReport
{
    PublishOutcome outcome = PublishOutcome::Accepted;
    /// The version that the request became, or for Conflict and Unchanged the one in the store.
    std::uint64_t version = 0;
    /// For Accepted what the publish changed; for Conflict what separates the store's files from the request's.
    std::string diff;

    auto fields() const
    {
        return std::tie(outcome, version, diff);
    }
};

/// Publishes configurations: one conditional transaction of head, changed files and audit record.
///
/// A lost reply is settled by reading back. All attempts carry the same condition, so at most one takes effect.
class Publisher
{
public:
    using Callback = std::function<void(Result<PublishReport>)>;

    /// Attempts go on for `timeout`, with growing pauses.
    Publisher(Runtime &runtime, Store &store, Duration timeout);

    /// Publishes. A failure's verdict tells whether the change may have been accepted; if it is MayHaveRun,
    /// the same request with the same publish id settles it later.
    void publish(PublishRequest request, Callback done);

private:
    class Attempt;

    Runtime &runtime_;
    Store &store_;
    ConfigReader reader_;
    Duration timeout_;
};

} // namespace Burdock
