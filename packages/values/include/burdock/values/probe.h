#pragma once

#include <burdock/values/place.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace Burdock
{

/// The type of a probe datagram.
enum class ProbeKind {
    /// Requests an Ack.
    Ping,
    /// Requests that the receiver pings `target` and forwards its Ack.
    PingRequest,
    /// Answers a Ping, or reports that `target` answered one.
    Ack,
    /// Carries updates and expects no Ack.
    Notice,
};

/// Whether a member answers probes. A later state overrides an earlier one of the same incarnation.
enum class MemberState {
    Alive,
    /// Did not answer; declared dead unless it refutes the suspicion in time.
    Suspect,
    Dead,
};

/// The state that a member reports of itself. A change increases its incarnation.
enum class MemberLife {
    /// Running, but not admitting work yet.
    Starting,
    /// Admits work.
    Ready,
    /// Finishes its work, then leaves; gets no new work.
    Leaving,
};

/// A state update about one member, spread with the probes.
struct ProbeUpdate
{
    InstanceId member;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberLife life = MemberLife::Ready;
    /// The place and addresses of the member; omitted if the instance list is expected to contain them.
    std::optional<ListedInstance> details;

    auto fields() const
    {
        return std::tie(member, incarnation, state, life, details);
    }
};

/// One datagram between two members.
struct ProbeMessage
{
    ProbeKind kind = ProbeKind::Ping;
    /// Matches an Ack to its Ping or PingRequest.
    std::uint32_t number = 0;
    InstanceId from;
    std::uint64_t incarnation = 0;
    MemberLife life = MemberLife::Ready;
    /// The version of the configuration in force at the sender; 0 for none.
    std::uint64_t configVersion = 0;
    /// PingRequest: the member to ping. Forwarded Ack: the member that answered. Otherwise empty.
    InstanceId target;
    std::vector<ProbeUpdate> updates;

    auto fields() const
    {
        return std::tie(kind, number, from, incarnation, life, configVersion, target, updates);
    }
};

/// The maximum length of an instance, data centre or region name in a probe, in bytes.
constexpr std::size_t ProbeNameBytes = 64;

/// The maximum size of a probe datagram in bytes; small enough for every path without fragmentation.
constexpr std::size_t ProbeDatagramBytes = 1200;

/// Larger incarnations are rejected, so that a member can always increase its own.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;

/// Returns an upper bound of the encoded size of a message without updates, in bytes.
std::size_t probeHeaderBytes(const ProbeMessage &message);

/// Returns an upper bound of the encoded size of an update, in bytes.
std::size_t probeUpdateBytes(const ProbeUpdate &update);

/// Sends probes to other members. Datagrams may be lost, duplicated and reordered.
class ProbePort
{
public:
    virtual ~ProbePort() = default;

    virtual void send(const Address &to, const ProbeMessage &message) = 0;
};

} // namespace Burdock
