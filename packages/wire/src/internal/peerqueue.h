#pragma once

#include <burdock/wire/peermessage.h>

#include <deque>
#include <vector>

namespace Burdock
{

/// The messages that wait for one peer's link, bounded in count and bytes.
class PeerQueue
{
public:
    static constexpr std::size_t MaxMessages = 4096;
    static constexpr std::size_t MaxBytes = 8388608;
    /// A frame is closed when it has reached either.
    static constexpr std::size_t FrameMessages = 64;
    static constexpr std::size_t FrameBytes = 262144;

    /// False where the message does not fit; it is not queued then.
    bool push(PeerMessage message);

    /// Takes the messages of the next frame.
    std::vector<PeerMessage> takeFrame();

    /// Drops all and tells how many.
    std::size_t drop();

    bool empty() const
    {
        return entries_.empty();
    }

private:
    struct Entry
    {
        PeerMessage message;
        std::size_t bytes;
    };

    std::deque<Entry> entries_;
    std::size_t bytes_ = 0;
};

} // namespace Burdock
