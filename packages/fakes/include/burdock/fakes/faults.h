#pragma once

#include <burdock/values/failure.h>

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Burdock
{

/// How a fake delivers the bytes of a response.
enum class Delivery {
    Whole,
    /// The request takes effect, but the response is dropped and the connection closed.
    Dropped,
    /// Only half of the body is sent, then the connection is closed.
    Truncated,
    /// The response is sent in several small packets.
    Split,
    /// The whole response is sent twice.
    Doubled,
};

/// How a fake treats connections and requests during an outage.
enum class Outage {
    None,
    /// The port and all connections are closed.
    Refuse,
    /// Requests are read, but never executed or answered.
    Hang,
};

/// How the connections from one client address are cut, while other clients are served.
enum class LinkCut {
    None,
    /// Nothing is read or sent; both go on when the cut ends.
    Hang,
    /// What arrives is discarded and nothing is sent, on these connections also after the cut.
    Lose,
    /// Requests are read and executed; the responses are held until the cut ends.
    OneWay,
    /// Open connections and new ones are reset.
    Reset,
    /// Open connections work; new ones are reset.
    RefuseNew,
};

/// Transport faults of a fake. `path`, `every` and `times` select the requests that `error` and `delivery` apply to.
struct TransportFaults
{
    /// Delay before the request takes effect.
    Duration delay{0};
    /// Delay between the effect and the response.
    Duration replyDelay{0};
    Outage outage = Outage::None;
    /// No request is handled or answered until the fault is cleared; then the deferred work runs.
    bool frozen = false;
    /// Status of an immediate error response without effect; 0 for none.
    int error = 0;
    Delivery delivery = Delivery::Whole;
    /// Path prefix of the matching requests.
    std::string path;
    /// Every nth matching request is selected.
    std::uint32_t every = 1;
    /// Number of further requests to select; negative for no limit.
    std::int64_t times = -1;
};

/// What a fake server reports about itself: its real state, a healthy or idle one, or an unhealthy or fully loaded one.
enum class SelfReport { Truth, Good, Bad };

/// Behaviour faults of a fake backend server.
struct BehaviourFaults
{
    /// State reported by GET /health and GET /load.
    SelfReport health = SelfReport::Truth;
    SelfReport load = SelfReport::Truth;
    /// New work is refused or, without `announceDraining`, still accepted.
    bool draining = false;
    /// Whether replies, refusals and GET /health report draining.
    bool announceDraining = true;
    /// Results come from another version or shard than requested, as the reply states.
    bool wrongVersion = false;
    bool wrongShard = false;
    /// Number of hits omitted at the end of the result.
    std::uint32_t omittedHits = 0;
    /// Responds with the body of the previous reply, including its request id.
    bool repeatPreviousBody = false;
    double slowFactor = 1.0;
};

/// Applies the fields of a JSON object to the faults. Fails with BadRequest on an unknown field or value.
Result<TransportFaults> changeFaults(TransportFaults faults, const nlohmann::json &change);
Result<BehaviourFaults> changeFaults(BehaviourFaults faults, const nlohmann::json &change);

} // namespace Burdock
