#pragma once

namespace Burdock
{

/// A budget for extra attempts: tokens are added as work arrives or as time passes, and each extra attempt takes one.
///
/// Over any span, the extra attempts are limited to the tokens added in it plus one full bucket.
class TokenBucket
{
public:
    /// Holds at most `capacity` tokens, and `tokens` at the start.
    TokenBucket(double capacity, double tokens);

    /// Adds tokens up to the capacity.
    void add(double tokens);

    /// Changes the capacity; tokens above it are lost.
    void setCapacity(double capacity);

    /// Takes a token and leaves at least `reserve`; false if there are too few.
    bool tryAcquire(double reserve = 0);

    double tokens() const;
    double capacity() const;

private:
    double capacity_;
    double tokens_;
};

} // namespace Burdock
