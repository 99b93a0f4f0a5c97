#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Burdock
{

/// One item of a CBOR frame. A list precedes its items and holds their count.
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
        /// List: the number of its items. Text: its index in the texts.
        std::uint64_t number;
        std::int64_t negative;
        double real;
    };
};

/// Collects the items of a frame from nlohmann's SAX parser in order, without building a tree.
///
/// The limits are checked while parsing, so that a malicious frame can neither nest deeply nor expand a few bytes into many
/// items.
class FrameItems final : public nlohmann::json_sax<nlohmann::json>
{
public:
    /// The deepest nesting is frame, message, reply, report, list, pair, window.
    static constexpr std::size_t MaxDepth = 8;
    static constexpr std::size_t MaxItems = 200000;

    /// Parses a frame. Returns false for anything but CBOR lists, numbers, booleans and texts within the limits.
    bool read(const std::string &frame);

    const std::vector<FrameItem> &items() const
    {
        return items_;
    }

    /// The texts, which FrameReader moves out.
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
