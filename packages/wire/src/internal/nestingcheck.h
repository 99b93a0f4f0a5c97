#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string>

namespace Burdock
{

/// Stops the parser at the first list or map that is nested too deeply.
class NestingCheck final : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool) override
    {
        return true;
    }
    bool number_integer(number_integer_t) override
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }
    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }
    bool string(string_t &) override
    {
        return true;
    }
    bool binary(binary_t &) override
    {
        return true;
    }
    bool start_object(std::size_t) override
    {
        return ++depth_ <= MaxDepth;
    }
    bool key(string_t &) override
    {
        return true;
    }
    bool end_object() override
    {
        --depth_;
        return true;
    }
    bool start_array(std::size_t) override
    {
        return ++depth_ <= MaxDepth;
    }
    bool end_array() override
    {
        --depth_;
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    /// The deepest message is a list of records with a few fields.
    static constexpr int MaxDepth = 16;

    int depth_ = 0;
};

} // namespace Burdock
