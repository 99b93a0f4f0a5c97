#pragma once

#include <cstdint>
#include <vector>

namespace Burdock
{

/// The connections of all HTTP servers of a process, which share its descriptors: idle ones of one server make room for another.
class ConnectionPool
{
public:
    /// A server whose connections count.
    class Member
    {
    public:
        virtual ~Member() = default;

        /// The number of connections that it has open.
        virtual std::uint32_t pooledConnections() const = 0;

        /// Closes the connection that has been idle longest, and returns whether there was one.
        virtual bool closeIdle() = 0;
    };

    /// `limit` is the number of connections that all members together may have open.
    explicit ConnectionPool(std::uint32_t limit);
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    void add(Member &member);
    void remove(Member &member);

    /// The number of connections that all members together have open.
    std::uint32_t openConnections() const;

    /// Whether the members have as many connections as they may.
    bool isFull() const;

    /// Closes an idle connection, if possible of the member that has most, and returns whether there was one.
    bool closeIdle();

private:
    const std::uint32_t limit_;
    std::vector<Member *> members_;
};

} // namespace Burdock
