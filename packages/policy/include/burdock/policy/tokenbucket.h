#pragma once

#include <cstdint>

namespace Burdock
{

/// A budget for extra attempts: each first attempt adds a fraction of a token, each extra attempt takes one.
///
/// Extra attempts are thereby limited to this fraction of the first attempts, at any rate, plus one full bucket.
class TokenBucket
{
public:
    /// Adds `tokensPerAttempt` for each first attempt and holds at most `capacity` tokens. The bucket starts full.
    TokenBucket(double tokensPerAttempt, double capacity);

    /// Adds the tokens for one first attempt.
    void refill();

    /// Takes a token; false if there is less than one.
    bool tryAcquire();

    double tokens() const;

private:
    double tokensPerAttempt_;
    double capacity_;
    double tokens_;
};

} // namespace Burdock
