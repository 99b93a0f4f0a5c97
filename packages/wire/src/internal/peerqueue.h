#pragma once

#include <burdock/wire/peermessage.h>

#include <deque>
#include <vector>

namespace Burdock
{

/// The messages that are queued for one peer's link, limited in number and bytes.
class PeerQueue
{
public:
    static constexpr std::size_t MaxMessages = 4096;
    static constexpr std::size_t MaxBytes = 8388608;
    /// A frame is complete when it has reached either of these sizes.
    static constexpr std::size_t TargetFrameMessages = 64;
    static constexpr std::size_t TargetFrameBytes = 262144;

    /// Queues a message. Returns false, without queueing it, if the queue is full or the message exceeds the frame limit.
    bool push(PeerMessage message);

    /// Removes and returns the messages of the next frame.
    std::vector<PeerMessage> takeFrame();

    /// Drops all messages and returns their number.
    std::size_t clear();

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
