#pragma once

#include <burdock/values/place.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

namespace Burdock
{

/// What a probe datagram is for.
enum class ProbeKind {
    /// Asks for an Ack.
    Ping,
    /// Asks the receiver to ping `target` and to pass its Ack on.
    PingRequest,
    /// Answers a Ping, or passes on that `target` answered one.
    Ack,
    /// Tells news and wants no Ack.
    Notice,
};

/// Whether a member answers probes, in the order in which one state overrides another of the same incarnation.
enum class MemberState {
    Alive,
    /// Did not answer; declared dead unless it refutes in time.
    Suspect,
    Dead,
};

/// What a member says of itself. A change raises its incarnation.
enum class MemberLife {
    /// Runs, but does not admit work yet.
    Starting,
    /// Admits work.
    Ready,
    /// Finishes its work and goes; gets no new work.
    Leaving,
};

/// One fact about one member, passed on from probe to probe.
struct ProbeUpdate
{
    InstanceId member;
    std::uint64_t incarnation = 0;
    MemberState state = MemberState::Alive;
    MemberLife life = MemberLife::Ready;
    /// Where the member stands and listens; left out where the instance list is expected to tell.
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
    /// The version of the configuration that the sender has in force; 0 for none.
    std::uint64_t configVersion = 0;
    /// PingRequest: whom to ping. Ack that is passed on: who answered. Else empty.
    InstanceId target;
    std::vector<ProbeUpdate> updates;

    auto fields() const
    {
        return std::tie(kind, number, from, incarnation, life, configVersion, target, updates);
    }
};

/// The longest instance, data centre or region name that a probe carries, in bytes.
constexpr std::size_t ProbeNameBytes = 64;

/// The largest probe datagram, in bytes; fits every path without fragments.
constexpr std::size_t ProbeDatagramBytes = 1200;

/// Incarnations above this are refused, so that a member can always raise its own.
constexpr std::uint64_t MaxIncarnation = std::uint64_t{1} << 62;

/// An upper bound of the bytes that a message without updates takes on the wire.
std::size_t probeHeaderBytes(const ProbeMessage &message);

/// An upper bound of the bytes that an update takes on the wire.
std::size_t probeUpdateBytes(const ProbeUpdate &update);

/// The way of probes to other members. Datagrams may be lost, doubled and reordered.
class ProbePort
{
public:
    virtual ~ProbePort() = default;

    virtual void send(const Address &to, const ProbeMessage &message) = 0;
};

} // namespace Burdock
