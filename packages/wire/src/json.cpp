#include <burdock/wire/json.h>

#include "internal/nestingcheck.h"

namespace Burdock
{

using Json = nlohmann::json;

namespace
{

template<class Value>
std::string writeReplacing(const Value &value)
{
    constexpr int NoIndent = -1;
    return value.dump(NoIndent, ' ', false, Value::error_handler_t::replace);
}

} // namespace

Result<Json> parseJson(const std::string &text)
{
    NestingCheck check;
    if (!Json::sax_parse(text, &check)) {
        return notRun(Errc::BadRequest, "the JSON is malformed or nested too deeply");
    }
    return Json::parse(text);
}

std::string writeJson(const Json &value)
{
    return writeReplacing(value);
}

std::string writeJson(const nlohmann::ordered_json &value)
{
    return writeReplacing(value);
}

} // namespace Burdock
