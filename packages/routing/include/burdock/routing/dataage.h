#pragma once

#include <burdock/values/runtime.h>

namespace Burdock
{

/// Decides how old an instance's knowledge of the store may be.
///
/// Load: some instances lose the store while the others, which get its changes through them, are expected to know each change
/// within five seconds. The age is the time since the data were known to be complete. It grows along a chain of relays by the wait
/// of a poll; the limits keep the sum, and the time to find another source, within that bound.
class DataAge
{
public:
    /// Whether an instance may serve its data to others. `depth` is the number of relays between it and the store.
    static bool isServable(Duration age, int depth);

    /// Whether an instance whose relays have nothing fresh must ask the store, however many others do so too.
    static bool needsStore(Duration age);

    /// How often an instance that serves others needs an answer of the store, so that its data do not become too old between two of
    /// them. `depth` is the number of relays that are usually between it and the store.
    static Duration storeAnswerInterval(int depth);
};

} // namespace Burdock
