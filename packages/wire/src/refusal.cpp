#include "internal/refusal.h"

#include <burdock/values/failure.h>

#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

struct Refusal
{
    int status;
    const char *reason;
    Errc code;
    const char *message;
};

constexpr Refusal TooLarge{413, "Payload Too Large", Errc::TooLarge, "the request's header or body is over the limit; send less"};
constexpr Refusal Malformed{400, "Bad Request", Errc::BadRequest, "the request is not well-formed HTTP/1.1"};

} // namespace

std::string refusalBytes(int status)
{
    const Refusal &refusal = status == TooLarge.status ? TooLarge : Malformed;
    const nlohmann::json error{{"code", errcName(refusal.code)}, {"message", refusal.message}, {"verdict", verdictName(Verdict::NotRun)}};
    const std::string body = nlohmann::json{{"error", error}}.dump();
    return "HTTP/1.1 " + std::to_string(refusal.status) + " " + refusal.reason
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

} // namespace Burdock
