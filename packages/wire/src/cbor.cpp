#include <burdock/wire/cbor.h>

#include "internal/nestingcheck.h"

namespace Burdock
{

using Json = nlohmann::json;

Result<Json> parseCbor(const std::string &bytes)
{
    // The library throws for an impossible length even if the check's parse_error returns false.
    try {
        NestingCheck check;
        if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
            return notRun(Errc::BadRequest, "the CBOR message is malformed or nested too deeply");
        }
        return Json::from_cbor(bytes);
    } catch (const Json::exception &error) {
        return notRun(Errc::BadRequest, std::string("the CBOR message is malformed: ") + error.what());
    }
}

} // namespace Burdock
