#include <burdock/wire/json.h>

#include "internal/nestingcheck.h"

namespace Burdock
{

using Json = nlohmann::json;

Result<Json> parseJson(const std::string &text)
{
    NestingCheck check;
    if (!Json::sax_parse(text, &check)) {
        return notRun(Errc::BadRequest, "the JSON is malformed or nested too deeply");
    }
    return Json::parse(text);
}

} // namespace Burdock
