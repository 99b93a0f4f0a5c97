#include <burdock/wire/connectionpool.h>

#include <algorithm>
#include <numeric>

namespace Burdock
{

ConnectionPool::ConnectionPool(std::uint32_t limit)
    : limit_(limit)
{
}

void ConnectionPool::add(Member &member)
{
    members_.push_back(&member);
}

void ConnectionPool::remove(Member &member)
{
    members_.erase(std::remove(members_.begin(), members_.end(), &member), members_.end());
}

std::uint32_t ConnectionPool::openConnections() const
{
    const auto add = [](std::uint32_t sum, const Member *member) { return sum + member->pooledConnections(); };
    return std::accumulate(members_.begin(), members_.end(), std::uint32_t{0}, add);
}

bool ConnectionPool::isFull() const
{
    return openConnections() >= limit_;
}

bool ConnectionPool::closeIdle()
{
    std::vector<Member *> largestFirst = members_;
    std::stable_sort(largestFirst.begin(), largestFirst.end(), [](const Member *left, const Member *right) {
        return left->pooledConnections() > right->pooledConnections();
    });
    return std::any_of(largestFirst.begin(), largestFirst.end(), [](Member *member) { return member->closeIdle(); });
}

} // namespace Burdock
