#include "internal/peerqueue.h"

#include "internal/messagefields.h"
#include "internal/websocket.h"

#include <utility>

namespace Burdock
{

bool PeerQueue::push(PeerMessage message)
{
    const std::size_t bytes = ApproximateSize::of(message);
    // The peer closes the link on a frame over MaxFrameBytes, so such a frame must not be sent. A frame can exceed TargetFrameBytes by
    // its last message.
    const bool tooLarge = bytes + TargetFrameBytes > MaxFrameBytes;
    if (tooLarge || entries_.size() >= MaxMessages || bytes_ + bytes > MaxBytes) {
        return false;
    }
    entries_.push_back({std::move(message), bytes});
    bytes_ += bytes;
    return true;
}

std::vector<PeerMessage> PeerQueue::takeFrame()
{
    std::vector<PeerMessage> messages;
    messages.reserve(std::min(entries_.size(), TargetFrameMessages));
    std::size_t frameBytes = 0;
    while (!entries_.empty() && messages.size() < TargetFrameMessages && frameBytes < TargetFrameBytes) {
        Entry &entry = entries_.front();
        frameBytes += entry.bytes;
        messages.push_back(std::move(entry.message));
        entries_.pop_front();
    }
    bytes_ -= frameBytes;
    return messages;
}

std::size_t PeerQueue::clear()
{
    const std::size_t count = entries_.size();
    entries_.clear();
    bytes_ = 0;
    return count;
}

} // namespace Burdock
