#include <burdock/routing/dataage.h>

namespace Burdock
{

namespace
{

/// The greatest age of data that an instance next to the store serves: after a change one and a half intervals of the store's
/// answers and a pause, and some delay.
constexpr Duration MaxServedAge = std::chrono::milliseconds(1800);
constexpr Duration StoreAnswerInterval = std::chrono::milliseconds(800);
/// Each relay in between adds the wait of a poll.
constexpr Duration MaxServedAgePerRelay = std::chrono::milliseconds(1000);
/// Above the age that data reach two relays away from the store without a disturbance.
constexpr Duration MaxAgeWithoutStore = std::chrono::milliseconds(3600);

} // namespace

bool DataAge::isServable(Duration age, int depth)
{
    return age < MaxServedAge + MaxServedAgePerRelay * depth;
}

Duration DataAge::storeAnswerInterval(int depth)
{
    // What an instance further down may serve is older, and many of them use the store when relays fail.
    return depth == 0 ? StoreAnswerInterval : 2 * StoreAnswerInterval;
}

bool DataAge::needsStore(Duration age)
{
    return age >= MaxAgeWithoutStore;
}

} // namespace Burdock
