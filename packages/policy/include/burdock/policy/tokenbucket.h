#pragma once

#include <cstdint>

namespace Burdock
{

/// A budget that is earned by ordinary work: each first attempt earns a part of a token, each extra attempt takes one.
///
/// So extra attempts stay below that part of the first attempts, whatever the rate, plus one bucket.
class TokenBucket
{
public:
    /// `earnedPart` tokens for each first attempt, and at most `capacity` kept; it starts full.
    TokenBucket(double earnedPart, double capacity);

    /// Counts a first attempt.
    void earn();

    /// Takes a token; false where there is none.
    bool take();

    double tokens() const;

private:
    double earnedPart_;
    double capacity_;
    double tokens_;
};

} // namespace Burdock
