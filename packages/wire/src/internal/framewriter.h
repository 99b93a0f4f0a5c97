#pragma once

#include "messagefields.h"

#include <nlohmann/json.hpp>

namespace Burdock
{

/// Converts values to JSON trees, which nlohmann encodes as CBOR. A structure becomes an array of its fields.
class FrameWriter
{
public:
    /// Returns `[number, ...fields]`, where the number is the index of the message's type in PeerMessage.
    static nlohmann::json message(const PeerMessage &message)
    {
        nlohmann::json::array_t array;
        std::visit(
            [&array, &message](const auto &value) {
                array.reserve(1 + std::tuple_size_v<decltype(value.fields())>);
                array.emplace_back(message.index());
                appendFields(array, value);
            },
            message);
        return array;
    }

private:
    template<class Value>
    static void appendFields(nlohmann::json::array_t &array, const Value &value)
    {
        std::apply([&array](const auto &...field) { (array.push_back(write(field)), ...); }, value.fields());
    }

    static nlohmann::json write(const std::string &text)
    {
        return text;
    }

    static nlohmann::json write(const Duration &span)
    {
        return span.count();
    }

    template<class Tag>
    static nlohmann::json write(const Name<Tag> &name)
    {
        return name.text();
    }

    template<class Number>
    static std::enable_if_t<std::is_arithmetic_v<Number>, nlohmann::json> write(Number number)
    {
        return number;
    }

    template<class Enum>
    static std::enable_if_t<std::is_enum_v<Enum>, nlohmann::json> write(Enum value)
    {
        return static_cast<std::uint64_t>(value);
    }

    template<class First, class Second>
    static nlohmann::json write(const std::pair<First, Second> &pair)
    {
        return nlohmann::json::array_t{write(pair.first), write(pair.second)};
    }

    template<class Item>
    static nlohmann::json write(const std::vector<Item> &items)
    {
        return writeItems(items);
    }

    template<class Item, std::size_t Count>
    static nlohmann::json write(const std::array<Item, Count> &items)
    {
        return writeItems(items);
    }

    template<class Items>
    static nlohmann::json writeItems(const Items &items)
    {
        nlohmann::json::array_t array;
        array.reserve(items.size());
        for (const auto &item : items) {
            array.push_back(write(item));
        }
        return array;
    }

    template<class Value>
    static auto write(const Value &value) -> decltype(value.fields(), nlohmann::json())
    {
        nlohmann::json::array_t array;
        array.reserve(std::tuple_size_v<decltype(value.fields())>);
        appendFields(array, value);
        return array;
    }
};

} // namespace Burdock
