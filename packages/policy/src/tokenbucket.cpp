#include <burdock/policy/tokenbucket.h>

#include <algorithm>

namespace Burdock
{

TokenBucket::TokenBucket(double capacity, double tokens)
    : capacity_(capacity)
    , tokens_(std::min(tokens, capacity))
{
}

void TokenBucket::add(double tokens)
{
    tokens_ = std::min(tokens_ + tokens, capacity_);
}

void TokenBucket::setCapacity(double capacity)
{
    capacity_ = capacity;
    tokens_ = std::min(tokens_, capacity);
}

bool TokenBucket::tryAcquire(double reserve)
{
    if (tokens_ < 1 + reserve) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

double TokenBucket::tokens() const
{
    return tokens_;
}

double TokenBucket::capacity() const
{
    return capacity_;
}

} // namespace Burdock
