#include "internal/frameitems.h"

#include <cmath>

namespace Burdock
{

namespace
{

/// The approximate size of a typical item. Used to reserve memory for all items at once.
constexpr std::size_t TypicalItemBytes = 8;

FrameItem listItem(std::size_t count)
{
    FrameItem item{FrameItem::Kind::List, {}};
    item.number = count;
    return item;
}

} // namespace

bool FrameItems::read(const std::string &frame)
{
    items_.reserve(std::min(frame.size() / TypicalItemBytes + 1, MaxItems));
    return nlohmann::json::sax_parse(frame, this, nlohmann::json::input_format_t::cbor);
}

bool FrameItems::add(FrameItem item)
{
    if (items_.size() >= MaxItems) {
        return false;
    }
    items_.push_back(item);
    return true;
}

bool FrameItems::null()
{
    return false;
}

bool FrameItems::boolean(bool value)
{
    return number_unsigned(value ? 1 : 0);
}

bool FrameItems::number_integer(number_integer_t value)
{
    FrameItem item{FrameItem::Kind::Negative, {}};
    item.negative = value;
    return add(item);
}

bool FrameItems::number_unsigned(number_unsigned_t value)
{
    FrameItem item{FrameItem::Kind::Unsigned, {}};
    item.number = value;
    return add(item);
}

bool FrameItems::number_float(number_float_t value, const string_t &)
{
    FrameItem item{FrameItem::Kind::Real, {}};
    item.real = value;
    return std::isfinite(value) && add(item);
}

bool FrameItems::string(string_t &text)
{
    FrameItem item{FrameItem::Kind::Text, {}};
    item.number = texts_.size();
    texts_.push_back(std::move(text));
    return add(item);
}

bool FrameItems::binary(binary_t &)
{
    return false;
}

bool FrameItems::start_object(std::size_t)
{
    return false;
}

bool FrameItems::key(string_t &)
{
    return false;
}

bool FrameItems::end_object()
{
    return false;
}

bool FrameItems::start_array(std::size_t count)
{
    // The parser reports a list of indefinite length with a count that exceeds MaxItems.
    return ++depth_ <= MaxDepth && count <= MaxItems && add(listItem(count));
}

bool FrameItems::end_array()
{
    --depth_;
    return true;
}

bool FrameItems::parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &)
{
    return false;
}

} // namespace Burdock
