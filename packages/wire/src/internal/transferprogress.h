#pragma once

#include <burdock/wire/memorybudget.h>

#include <chrono>
#include <cstddef>

namespace Burdock
{

/// Measures whether a connection moves at the least rate of the terms. A few bytes now and then are no progress.
class TransferProgress
{
public:
    explicit TransferProgress(TimePoint now)
        : spanSince_(now)
        , progressAt_(now)
    {
    }

    /// Begins a span, as if there had been progress until now.
    void restart(TimePoint now)
    {
        spanSince_ = now;
        progressAt_ = now;
        movedBytes_ = 0;
    }

    /// Notes bytes that were sent or received.
    void onMoved(std::size_t bytes)
    {
        movedBytes_ += bytes;
    }

    /// Returns when the connection last made progress.
    TimePoint update(const MemoryTerms &terms, TimePoint now)
    {
        const Duration span = now - spanSince_;
        if (span >= terms.span) {
            const auto least = static_cast<double>(terms.leastRate) * std::chrono::duration<double>(span).count();
            progressAt_ = static_cast<double>(movedBytes_) >= least ? now : progressAt_;
            spanSince_ = now;
            movedBytes_ = 0;
        }
        return progressAt_;
    }

private:
    std::size_t movedBytes_ = 0;
    TimePoint spanSince_;
    TimePoint progressAt_;
};

} // namespace Burdock
