#include <burdock/policy/tokenbucket.h>

#include <algorithm>

namespace Burdock
{

TokenBucket::TokenBucket(double earnedPart, double capacity)
    : earnedPart_(earnedPart)
    , capacity_(capacity)
    , tokens_(capacity)
{
}

void TokenBucket::earn()
{
    tokens_ = std::min(tokens_ + earnedPart_, capacity_);
}

bool TokenBucket::take()
{
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

double TokenBucket::tokens() const
{
    return tokens_;
}

} // namespace Burdock
