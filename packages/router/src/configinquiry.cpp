#include <burdock/router/configinquiry.h>

#include <burdock/router/relaycodec.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

constexpr int OkStatus = 200;
/// How many others must have told a configuration, which is also how many are asked at the same time.
constexpr std::size_t WantedAnswers = 2;
/// How many others are asked at most.
constexpr std::size_t MaxAsked = 12;
constexpr Duration AnswerTimeout = std::chrono::milliseconds(400);

} // namespace

ConfigInquiry::ConfigInquiry(Runtime &runtime, HttpClient &client, DecisionLog &log, Events events)
    : runtime_(runtime)
    , client_(client)
    , log_(log)
    , events_(std::move(events))
{
}

ConfigInquiry::~ConfigInquiry()
{
    *alive_ = false;
}

void ConfigInquiry::start(std::vector<Address> peers)
{
    if (std::exchange(started_, true)) {
        return;
    }
    peers_ = std::move(peers);
    std::reverse(peers_.begin(), peers_.end());
    waitUntil_ = runtime_.now() + AnswerTimeout;
    for (std::size_t count = 0; count < WantedAnswers; ++count) {
        askNext();
    }
}

bool ConfigInquiry::isPending() const
{
    return unanswered_ > 0 && told_ < WantedAnswers && runtime_.now() < waitUntil_;
}

void ConfigInquiry::askNext()
{
    if (peers_.empty() || asked_ == MaxAsked) {
        return;
    }
    ++asked_;
    ++unanswered_;
    const Address peer = peers_.back();
    peers_.pop_back();
    send(peer, [this, peer](const Result<HttpResponse> &response) { onAnswer(peer, response); });
}

void ConfigInquiry::ask(const Address &peer)
{
    if (std::exchange(asking_, true)) {
        askLater_ = peer;
        return;
    }
    send(peer, [this, peer](const Result<HttpResponse> &response) {
        asking_ = false;
        takeAnswer(peer, response);
        if (const auto next = std::exchange(askLater_, std::nullopt)) {
            ask(*next);
        }
    });
}

void ConfigInquiry::send(const Address &peer, std::function<void(const Result<HttpResponse> &)> onAnswer)
{
    HttpRequest request;
    request.address = peer;
    request.method = "GET";
    request.path = Path;
    request.timeout = AnswerTimeout;
    client_.send(std::move(request), [onAnswer = std::move(onAnswer), alive = alive_](const Result<HttpResponse> &response) {
        if (*alive) {
            onAnswer(response);
        }
    });
}

bool ConfigInquiry::takeAnswer(const Address &peer, const Result<HttpResponse> &response)
{
    const auto range = response && response->status == OkStatus && RelayFormat::isReadable(response->headers)
        ? readRange(response->body)
        : notRun(Errc::Unavailable, "no configuration that can be read");
    const bool told = range && !range->entries.empty();
    log_.write(DecisionPriority::Change,
               "peer.config",
               {{"peer", peer.toString()},
                {"outcome", told ? "answered" : "none"},
                {"asked", static_cast<std::int64_t>(asked_)},
                {"reason", response ? std::string_view() : std::string_view(response.error().message)}});
    if (told) {
        events_.onConfig(range->entries.front());
    }
    return told;
}

void ConfigInquiry::onAnswer(const Address &peer, const Result<HttpResponse> &response)
{
    --unanswered_;
    if (takeAnswer(peer, response)) {
        ++told_;
    } else {
        askNext();
    }
    if (unanswered_ == 0) {
        events_.onFinished();
    }
}

} // namespace Burdock
