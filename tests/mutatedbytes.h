#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

namespace Burdock
{

/// Makes malformed messages from a valid one, the same for the same seed: bytes are changed, removed, repeated and inserted.
class MutatedBytes
{
public:
    MutatedBytes(std::string valid, std::uint64_t seed)
        : valid_(std::move(valid))
        , random_(seed)
    {
    }

    std::string next()
    {
        std::string bytes = valid_;
        for (std::size_t changes = 1 + position(4); changes > 0 && !bytes.empty(); --changes) {
            const std::size_t at = position(bytes.size());
            const std::size_t length = 1 + position(std::min<std::size_t>(bytes.size() - at, 16));
            switch (position(5)) {
            case 0:
                bytes[at] = static_cast<char>(position(256));
                break;
            case 1:
                bytes.erase(at, length);
                break;
            case 2:
                bytes.insert(at, bytes.substr(at, length));
                break;
            case 3:
                bytes.resize(at);
                break;
            default:
                bytes.insert(at, length, static_cast<char>(position(256)));
            }
        }
        return bytes;
    }

private:
    std::size_t position(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
    }

    const std::string valid_;
    std::mt19937_64 random_;
};

} // namespace Burdock
