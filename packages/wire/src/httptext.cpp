#include "internal/httptext.h"

#include <burdock/values/failure.h>
#include <burdock/wire/json.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>
#include <numeric>

namespace Burdock
{

namespace
{

struct ReasonPhrase
{
    int status;
    const char *text;
};

/// The statuses listed in docs/INTERFACES.md. Others are sent without a reason phrase, which HTTP allows.
constexpr std::array<ReasonPhrase, 17> ReasonPhrases{{
    {200, "OK"},
    {201, "Created"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {409, "Conflict"},
    {410, "Gone"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

const char *reasonPhrase(int status)
{
    const auto *found = std::find_if(ReasonPhrases.begin(), ReasonPhrases.end(), [status](const ReasonPhrase &phrase) { return phrase.status == status; });
    return found == ReasonPhrases.end() ? "" : found->text;
}

bool hasHeadBreakingCharacter(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return letter == '\r' || letter == '\n' || letter == '\0'; });
}

struct ErrorDescription
{
    Errc code;
    const char *message;
    Verdict verdict;
};

struct StatusDescription
{
    int status;
    ErrorDescription error;
};

constexpr std::array<StatusDescription, 3> StatusDescriptions{{
    {413, {Errc::TooLarge, "the request's header or body is over the limit; send less", Verdict::NotRun}},
    {503, {Errc::Unavailable, "there is no memory for the request; come back after Retry-After", Verdict::NotRun}},
    {500, {Errc::Internal, "an internal error ended the request", Verdict::MayHaveRun}},
}};
constexpr ErrorDescription Malformed{Errc::BadRequest, "the request is not well-formed HTTP/1.1", Verdict::NotRun};

} // namespace

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string responseHead(int status, const std::map<std::string, std::string> &headers, std::optional<std::size_t> bodyBytes, bool close, bool jsonByDefault)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\n";
    bool hasContentType = !jsonByDefault;
    for (const auto &[name, value] : headers) {
        if (!hasHeadBreakingCharacter(name) && !hasHeadBreakingCharacter(value)) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        hasContentType = hasContentType || lowerCase(name) == "content-type";
    }
    if (!hasContentType) {
        head += "Content-Type: application/json\r\n";
    }
    if (bodyBytes) {
        head += "Content-Length: " + std::to_string(*bodyBytes) + "\r\n";
    }
    if (close) {
        head += "Connection: close\r\n";
    }
    return head + "\r\n";
}

std::size_t headBytes(const std::string &target, const std::map<std::string, std::string> &headers)
{
    return std::accumulate(
        headers.begin(), headers.end(), target.size(), [](std::size_t sum, const auto &field) { return sum + field.first.size() + field.second.size(); });
}

std::string errorBody(int status)
{
    const auto *found =
        std::find_if(StatusDescriptions.begin(), StatusDescriptions.end(), [status](const StatusDescription &known) { return known.status == status; });
    const ErrorDescription &description = found == StatusDescriptions.end() ? Malformed : found->error;
    const nlohmann::json error{{"code", errcName(description.code)}, {"message", description.message}, {"verdict", verdictName(description.verdict)}};
    return writeJson(nlohmann::json{{"error", error}});
}

} // namespace Burdock
