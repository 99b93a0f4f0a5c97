#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Burdock
{

/// How the bytes of an answer leave a stand-in.
enum class Delivery {
    Whole,
    /// The request took effect, but its answer is lost and the connection closes.
    Dropped,
    /// Half of the answer, then the connection closes.
    Truncated,
    /// Many small packets.
    Split,
    /// The whole answer twice.
    Doubled,
};

/// What a stand-in does to new connections and requests.
enum class Outage {
    None,
    /// The port is closed and all connections are cut.
    Refuse,
    /// Requests are read, but never worked on or answered.
    Hang,
};

/// Faults of a stand-in's transport. `every` and `times` choose which requests suffer `error` and `delivery`.
struct TransportFaults
{
    /// Before the effect.
    Duration delay{0};
    /// Between the effect and the answer.
    Duration replyDelay{0};
    Outage outage = Outage::None;
    /// Nothing is read, worked on or answered until the fault is lifted; then all of it is.
    bool frozen = false;
    /// Answers at once with this status, without effect; 0 for none.
    int error = 0;
    Delivery delivery = Delivery::Whole;
    /// Only requests whose path begins so suffer.
    std::string path;
    /// Of these, every such one.
    std::uint32_t every = 1;
    /// How many more suffer; below 0 all.
    std::int64_t times = -1;
};

/// What a stand-in server says of itself.
enum class Claimed { Truth, Good, Bad };

/// Faults of a stand-in server's conduct.
struct ConductFaults
{
    /// What GET /health and GET /load claim.
    Claimed health = Claimed::Truth;
    Claimed load = Claimed::Truth;
    /// Leaving: refuses new work, or, where not told, works on without a word and then stops.
    bool draining = false;
    /// Whether replies, refusals and health tell of the draining.
    bool drainTold = true;
    /// Answers from another version or shard than asked, and says so in the reply.
    bool wrongVersion = false;
    bool wrongShard = false;
    /// Leaves out so many of the last hits.
    std::uint32_t shortBy = 0;
    /// Answers with the body of the reply before, under its request id.
    bool crossed = false;
    double slowFactor = 1.0;
};

/// Changes the faults by the fields that a JSON object names; an unknown field or value is an error.
Result<TransportFaults> changeFaults(TransportFaults faults, const nlohmann::json &change);
Result<ConductFaults> changeFaults(ConductFaults faults, const nlohmann::json &change);

} // namespace Burdock
