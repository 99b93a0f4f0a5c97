#pragma once

#include <burdock/wire/peermessage.h>

#include <array>
#include <tuple>
#include <type_traits>
#include <utility>

namespace Burdock
{

/// The last value of an enumeration that is sent between instances. Larger values are malformed.
template<class Enum>
constexpr Enum LastValue = Enum::Undefined;
template<>
constexpr Errc LastValue<Errc> = Errc::Internal;
template<>
constexpr Verdict LastValue<Verdict> = Verdict::Ran;
template<>
constexpr Rank LastValue<Rank> = Rank::Batch;
template<>
constexpr SubRequestKind LastValue<SubRequestKind> = SubRequestKind::Command;

/// The fields of a value as writable references, for decoding. `fields()` returns const references.
template<class Value>
auto writableFields(Value &value)
{
    const auto writable = [](const auto &...field) { return std::tie(const_cast<std::remove_const_t<std::remove_reference_t<decltype(field)>> &>(field)...); };
    return std::apply(writable, std::as_const(value).fields());
}

/// Estimates the encoded size of a message in bytes: the sizes of its texts plus a fixed size for each field.
class ApproximateSize
{
public:
    static std::size_t of(const PeerMessage &message)
    {
        return std::visit([](const auto &value) { return size(value); }, message);
    }

private:
    /// The size of a number, an enumeration, or the head of a text or list.
    static constexpr std::size_t FieldBytes = 9;

    static std::size_t size(const std::string &text)
    {
        return FieldBytes + text.size();
    }

    template<class Tag>
    static std::size_t size(const Name<Tag> &name)
    {
        return size(name.text());
    }

    template<class Item>
    static std::size_t size(const std::vector<Item> &items)
    {
        std::size_t sum = FieldBytes;
        for (const Item &item : items) {
            sum += size(item);
        }
        return sum;
    }

    template<class First, class Second>
    static std::size_t size(const std::pair<First, Second> &pair)
    {
        return size(pair.first) + size(pair.second);
    }

    template<class Value>
    static auto size(const Value &value) -> decltype(value.fields(), std::size_t{})
    {
        return std::apply([](const auto &...field) { return (FieldBytes + ... + size(field)); }, value.fields());
    }

    template<class Value>
    static std::enable_if_t<std::is_arithmetic_v<Value> || std::is_enum_v<Value>, std::size_t> size(const Value &)
    {
        return FieldBytes;
    }

    static std::size_t size(const Duration &)
    {
        return FieldBytes;
    }

    template<class Item, std::size_t Count>
    static std::size_t size(const std::array<Item, Count> &)
    {
        return FieldBytes * Count;
    }
};

} // namespace Burdock
