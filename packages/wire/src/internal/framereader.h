#pragma once

#include "frameitems.h"
#include "messagefields.h"

#include <limits>

namespace Burdock
{

/// Reads values from the items of a frame. Each `read` returns false if the items do not match the type.
class FrameReader
{
public:
    explicit FrameReader(FrameItems &items)
        : items_(items.items())
        , texts_(items.texts())
    {
    }

    /// Reads the head of a list of any length.
    bool readList(std::size_t &count)
    {
        const FrameItem *item = next(FrameItem::Kind::List);
        // Each element takes at least one item, so a larger count is malformed.
        if (item == nullptr || item->number > items_.size() - position_) {
            return false;
        }
        count = item->number;
        return true;
    }

    /// Reads the fields of a value whose list head was already read.
    template<class Value>
    bool readFields(Value &value)
    {
        return std::apply([this](auto &...field) { return (read(field) && ...); }, writableFields(value));
    }

    bool read(std::uint64_t &number)
    {
        const FrameItem *item = next(FrameItem::Kind::Unsigned);
        if (item == nullptr) {
            return false;
        }
        number = item->number;
        return true;
    }

    bool read(std::uint32_t &number)
    {
        std::uint64_t wide = 0;
        if (!read(wide) || wide > std::numeric_limits<std::uint32_t>::max()) {
            return false;
        }
        number = static_cast<std::uint32_t>(wide);
        return true;
    }

    bool read(bool &flag)
    {
        std::uint64_t wide = 0;
        if (!read(wide) || wide > 1) {
            return false;
        }
        flag = wide == 1;
        return true;
    }

    bool read(double &number)
    {
        const FrameItem *item = next(FrameItem::Kind::Real);
        if (item == nullptr) {
            return false;
        }
        number = item->real;
        return true;
    }

    bool read(Duration &span)
    {
        if (const FrameItem *item = next(FrameItem::Kind::Negative)) {
            span = Duration(item->negative);
            return true;
        }
        std::uint64_t wide = 0;
        if (!read(wide) || wide > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max())) {
            return false;
        }
        span = Duration(static_cast<std::int64_t>(wide));
        return true;
    }

    bool read(std::string &text)
    {
        const FrameItem *item = next(FrameItem::Kind::Text);
        if (item == nullptr) {
            return false;
        }
        text = std::move(texts_[item->number]);
        return true;
    }

private:
    template<class Tag>
    bool read(Name<Tag> &name)
    {
        std::string text;
        if (!read(text)) {
            return false;
        }
        name = Name<Tag>(std::move(text));
        return true;
    }

    template<class Enum>
    std::enable_if_t<std::is_enum_v<Enum>, bool> read(Enum &value)
    {
        std::uint64_t wide = 0;
        if (!read(wide) || wide > static_cast<std::uint64_t>(LastValue<Enum>)) {
            return false;
        }
        value = static_cast<Enum>(wide);
        return true;
    }

    template<class First, class Second>
    bool read(std::pair<First, Second> &pair)
    {
        std::size_t count = 0;
        return readList(count) && count == 2 && read(pair.first) && read(pair.second);
    }

    template<class Item>
    bool read(std::vector<Item> &list)
    {
        std::size_t count = 0;
        if (!readList(count)) {
            return false;
        }
        list.resize(count);
        return readItems(list);
    }

    template<class Item, std::size_t Count>
    bool read(std::array<Item, Count> &list)
    {
        std::size_t count = 0;
        return readList(count) && count == Count && readItems(list);
    }

    template<class Items>
    bool readItems(Items &list)
    {
        for (auto &item : list) {
            if (!read(item)) {
                return false;
            }
        }
        return true;
    }

    template<class Value>
    auto read(Value &value) -> decltype(value.fields(), bool())
    {
        std::size_t count = 0;
        return readList(count) && count == std::tuple_size_v<decltype(value.fields())> && readFields(value);
    }

    const FrameItem *next(FrameItem::Kind kind)
    {
        if (position_ == items_.size() || items_[position_].kind != kind) {
            return nullptr;
        }
        return &items_[position_++];
    }

    const std::vector<FrameItem> &items_;
    std::vector<std::string> &texts_;
    std::size_t position_ = 0;
};

} // namespace Burdock
