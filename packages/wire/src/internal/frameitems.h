#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Burdock
{

/// One item of a CBOR frame. Lists stand before their items, with their count.
struct FrameItem
{
    enum class Kind : std::uint8_t {
        List,
        Unsigned,
        Negative,
        Real,
        Text,
    };

    Kind kind;
    union {
        /// List: how many items. Text: its place in the texts.
        std::uint64_t number;
        std::int64_t negative;
        double real;
    };
};

/// Collects the items of a frame from nlohmann's reader, in order, without building a tree.
///
/// The bounds hold while reading: a hostile frame can neither nest the reader deep nor make many items of few bytes.
class FrameItems final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /// Frame, message, reply, report, list, pair, window: no message nests deeper.
    static constexpr std::size_t MaxDepth = 8;
    static constexpr std::size_t MaxItems = 200000;

    /// False for anything that is not CBOR of lists, numbers and texts within the bounds.
    bool read(const std::string &frame);

    const std::vector<FrameItem> &items() const
    {
        return items_;
    }

    /// The texts; the reader of the items moves them out.
    std::vector<std::string> &texts()
    {
        return texts_;
    }

    bool null() override;
    bool boolean(bool value) override;
    bool number_integer(number_integer_t value) override;
    bool number_unsigned(number_unsigned_t value) override;
    bool number_float(number_float_t value, const string_t &text) override;
    bool string(string_t &text) override;
    bool binary(binary_t &bytes) override;
    bool start_object(std::size_t count) override;
    bool key(string_t &text) override;
    bool end_object() override;
    bool start_array(std::size_t count) override;
    bool end_array() override;
    bool parse_error(std::size_t position, const std::string &token, const nlohmann::detail::exception &error) override;

private:
    bool add(FrameItem item);

    std::vector<FrameItem> items_;
    std::vector<std::string> texts_;
    std::size_t depth_ = 0;
};

} // namespace Burdock
