#pragma once

#include <burdock/values/runtime.h>

#include <cstdint>

namespace Burdock
{

/// Whether one backend server gets no work for a while because its requests failed.
///
/// Five failures in a row eject it, for half a second at first and twice as long each time after, to at
/// most four seconds. After its return one failure ejects it again; five answers in a row clear its record.
class Ejection
{
public:
    /// Counts an answer or a failure of the server.
    void recordAnswer();
    void recordFailure(TimePoint now);

    bool ejected(TimePoint now) const;

    /// When the server gets work again; past where it is not ejected.
    TimePoint until() const;

private:
    std::uint32_t failuresInARow_ = 0;
    std::uint32_t answersInARow_ = 0;
    std::uint32_t times_ = 0;
    TimePoint until_{};
};

} // namespace Burdock
