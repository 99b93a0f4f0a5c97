#include <burdock/router/passonheaders.h>

#include <burdock/router/httpbackends.h>
#include <burdock/wire/json.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::string_view Prefix = "burdock-";
constexpr const char *From = "burdock-from";
constexpr const char *Config = "burdock-config";
constexpr const char *Attempts = "burdock-attempts";
constexpr const char *Counted = "burdock-counted";
constexpr const char *ClientAgeUs = "burdock-client-age-us";
constexpr const char *Service = "burdock-service";
constexpr const char *WorkspaceName = "burdock-workspace";
constexpr const char *WorkspaceConfig = "burdock-workspace-config";
constexpr const char *Outcome = "burdock-outcome";
constexpr const char *Unable = "burdock-unable";
constexpr std::array<const char *, 10> All{From, Config, Attempts, Counted, ClientAgeUs, Service, WorkspaceName, WorkspaceConfig, Outcome, Unable};

constexpr const char *Yes = "1";
/// The values of `Unable` in the order of ClientAnswer::Inability.
constexpr std::array<std::string_view, 4> Inabilities{"", "request", "instance", "configuration"};
/// The outcomes in the order of ClientAnswer::Kind.
constexpr std::array<std::string_view, 4> Outcomes{"passed", "gathered", "refused", "failed"};

std::string valueOf(const PassOnHeaders::Headers &headers, std::string name)
{
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

template<class Number>
std::optional<Number> numberOf(const PassOnHeaders::Headers &headers, const std::string &name)
{
    const std::string text = valueOf(headers, name);
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::vector<std::string> splitSignatures(const std::string &value)
{
    std::vector<std::string> signatures;
    std::string word;
    for (const char character : value + ',') {
        if (character == ',') {
            if (!word.empty()) {
                signatures.push_back(std::exchange(word, {}));
            }
        } else if (character != ' ') {
            word += character;
        }
    }
    return signatures;
}

std::string messageOf(const std::string &body)
{
    const auto parsed = nlohmann::json::parse(body, nullptr, false);
    const nlohmann::json::json_pointer message("/error/message");
    return parsed.is_object() && parsed.contains(message) && parsed[message].is_string() ? parsed[message].get<std::string>() : std::string();
}

Duration retryAfterOf(const PassOnHeaders::Headers &headers)
{
    constexpr double MaxSeconds = 3600;
    const auto seconds = numberOf<double>(headers, "retry-after");
    if (!seconds || !std::isfinite(*seconds) || *seconds < 0) {
        return Duration{0};
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(*seconds, MaxSeconds)));
}

} // namespace

bool PassOnHeaders::isPassedOn(const Headers &headers)
{
    return headers.count(From) > 0;
}

void PassOnHeaders::remove(Headers &headers)
{
    // Also those of later builds.
    const auto begin = headers.lower_bound(std::string(Prefix));
    const auto end = std::find_if(begin, headers.end(), [](const auto &header) { return header.first.compare(0, Prefix.size(), Prefix) != 0; });
    headers.erase(begin, end);
}

void PassOnHeaders::write(Headers &headers, const PassOnTerms &terms)
{
    remove(headers);
    headers[From] = terms.from.text();
    headers[Config] = std::to_string(terms.configVersion);
    headers[Attempts] = std::to_string(terms.attempts);
    headers[ClientAgeUs] = std::to_string(terms.clientAge.count());
    if (terms.counted) {
        headers[Counted] = Yes;
    }
    if (!terms.service.empty()) {
        headers[Service] = terms.service.text();
    }
    if (!terms.workspace.empty()) {
        headers[WorkspaceName] = terms.workspace;
        headers[WorkspaceConfig] = std::to_string(terms.workspaceConfig);
    }
}

Result<PassOnTerms> PassOnHeaders::read(const Headers &headers)
{
    const auto version = numberOf<std::int64_t>(headers, Config);
    const auto attempts = numberOf<std::uint32_t>(headers, Attempts);
    const auto ageUs = numberOf<std::int64_t>(headers, ClientAgeUs);
    if (!version || !attempts || *attempts == 0 || !ageUs || *ageUs < 0) {
        return notRun(Errc::BadRequest, "the headers of a request that was passed on cannot be read");
    }
    PassOnTerms terms;
    terms.from = InstanceId(valueOf(headers, From));
    terms.configVersion = *version;
    terms.attempts = *attempts;
    terms.counted = valueOf(headers, Counted) == Yes;
    terms.clientAge = Duration(*ageUs);
    terms.service = ServiceName(valueOf(headers, Service));
    terms.workspace = valueOf(headers, WorkspaceName);
    terms.workspaceConfig = numberOf<std::int64_t>(headers, WorkspaceConfig).value_or(0);
    return terms;
}

void PassOnHeaders::writeOutcome(Headers &headers, const ClientAnswer &answer, std::int64_t configVersion)
{
    remove(headers);
    headers[Outcome] = Outcomes.at(static_cast<std::size_t>(answer.kind));
    headers[Config] = std::to_string(configVersion);
    headers[Attempts] = std::to_string(answer.attempts);
    if (answer.inability != ClientAnswer::Inability::None) {
        headers[Unable] = Inabilities.at(static_cast<std::size_t>(answer.inability));
    }
}

HttpServerResponse PassOnHeaders::failureResponse()
{
    HttpServerResponse out;
    out.status = AnswerStatus::InternalError;
    out.headers[Outcome] = Outcomes.at(static_cast<std::size_t>(ClientAnswer::Kind::Failed));
    out.body = writeJson(nlohmann::json{{"error", {{"message", "an internal error ended the request"}, {"verdict", "mayHaveRun"}}}});
    return out;
}

bool PassOnHeaders::areStatedOnce(const HttpResponse &response)
{
    return std::none_of(All.begin(), All.end(), [&response](const char *name) { return response.repeatedHeaders.count(name) > 0; });
}

Result<PeerReply> PassOnHeaders::readReply(const HeaderNames &names, Result<HttpResponse> response)
{
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    const auto outcome = std::find(Outcomes.begin(), Outcomes.end(), valueOf(response->headers, Outcome));
    const bool isFailure = response->status == AnswerStatus::InternalError || !valueOf(response->headers, Outcome).empty();
    if (outcome == Outcomes.end() && isFailure) {
        return mayHaveRun(Errc::Internal, "the peer failed, status " + std::to_string(response->status));
    }
    if (outcome == Outcomes.end()) {
        // The answer of a program that does not know these headers, or an error of the HTTP server, which has not read the request.
        return notRun(Errc::Unavailable, "the peer did not take the request, status " + std::to_string(response->status));
    }
    PeerReply reply;
    reply.configVersion = numberOf<std::int64_t>(response->headers, Config).value_or(0);
    ClientAnswer &answer = reply.answer;
    answer.kind = static_cast<ClientAnswer::Kind>(outcome - Outcomes.begin());
    answer.status = response->status;
    answer.attempts = numberOf<std::uint32_t>(response->headers, Attempts).value_or(0);
    const auto inability = std::find(Inabilities.begin(), Inabilities.end(), valueOf(response->headers, Unable));
    answer.inability = inability == Inabilities.end() ? ClientAnswer::Inability::None : static_cast<ClientAnswer::Inability>(inability - Inabilities.begin());
    if (!answer.succeeded()) {
        answer.reason = messageOf(response->body);
        answer.retryAfter = retryAfterOf(response->headers);
        return reply;
    }
    answer.body = std::move(response->body);
    if (answer.kind == ClientAnswer::Kind::Gathered) {
        answer.signatures = splitSignatures(valueOf(response->headers, names.partSignatures));
        answer.missing = numberOf<std::uint32_t>(response->headers, names.missingParts).value_or(0);
        return reply;
    }
    answer.signatures = {valueOf(response->headers, names.signature)};
    answer.headers = std::move(response->headers);
    removeConnectionHeaders(answer.headers);
    remove(answer.headers);
    return reply;
}

} // namespace Burdock
