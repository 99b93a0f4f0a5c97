#include "internal/httptext.h"

#include <burdock/values/failure.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

struct Phrase
{
    int status;
    const char *text;
};

/// The statuses of docs/INTERFACES.md; others go without a phrase, which HTTP allows.
constexpr std::array<Phrase, 17> Phrases{{
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

const char *phraseOf(int status)
{
    const auto *found = std::find_if(Phrases.begin(), Phrases.end(), [status](const Phrase &phrase) { return phrase.status == status; });
    return found == Phrases.end() ? "" : found->text;
}

bool breaksHead(const std::string &text)
{
    return std::any_of(text.begin(), text.end(), [](unsigned char letter) { return letter == '\r' || letter == '\n' || letter == '\0'; });
}

struct Refusal
{
    Errc code;
    const char *message;
};

constexpr int TooLargeStatus = 413;
constexpr Refusal TooLarge{Errc::TooLarge, "the request's header or body is over the limit; send less"};
constexpr Refusal Malformed{Errc::BadRequest, "the request is not well-formed HTTP/1.1"};

} // namespace

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string answerHead(int status, const std::map<std::string, std::string> &headers, std::optional<std::size_t> bodyBytes, bool close, bool labelled)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + phraseOf(status) + "\r\n";
    bool typed = !labelled;
    for (const auto &[name, value] : headers) {
        if (!breaksHead(name) && !breaksHead(value)) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
        typed = typed || lowerCase(name) == "content-type";
    }
    if (!typed) {
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

std::string refusalBody(int status)
{
    const Refusal &refusal = status == TooLargeStatus ? TooLarge : Malformed;
    const nlohmann::json error{{"code", errcName(refusal.code)}, {"message", refusal.message}, {"verdict", verdictName(Verdict::NotRun)}};
    return nlohmann::json{{"error", error}}.dump();
}

} // namespace Burdock
