#include <burdock/wire/cbor.h>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// The maximum nesting; the deepest message is a list of records with a few fields.
constexpr int MaxDepth = 16;

/// Stops the parser at the first list or map that is nested too deeply.
class DepthCheck final : public nlohmann::json_sax<Json>
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
    int depth_ = 0;
};

} // namespace

Result<Json> parseCbor(const std::string &bytes)
{
    // The library throws for an impossible length even if the check's parse_error returns false.
    try {
        DepthCheck check;
        if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
            return notRun(Errc::BadRequest, "the CBOR message is malformed or nested too deeply");
        }
        return Json::from_cbor(bytes);
    } catch (const Json::exception &error) {
        return notRun(Errc::BadRequest, std::string("the CBOR message is malformed: ") + error.what());
    }
}

} // namespace Burdock
