#include <burdock/policy/tokenbucket.h>

#include <algorithm>

namespace Burdock
{

TokenBucket::TokenBucket(double tokensPerAttempt, double capacity)
    : tokensPerAttempt_(tokensPerAttempt)
    , capacity_(capacity)
    , tokens_(capacity)
{
}

void TokenBucket::refill()
{
    tokens_ = std::min(tokens_ + tokensPerAttempt_, capacity_);
}

bool TokenBucket::tryAcquire()
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
