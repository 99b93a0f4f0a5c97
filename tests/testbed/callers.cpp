#include "callers.h"

#include <numeric>
#include <utility>

namespace Burdock
{

namespace
{

/// Longer than any route of the testbed takes.
constexpr Duration RequestTimeout = std::chrono::seconds(5);
/// After a failure to connect or a refusal, a client waits for this time.
constexpr Duration RetryDelay = std::chrono::milliseconds(20);
constexpr int OkStatus = 200;

} // namespace

Callers::Callers(RouterTestbed &bed, std::string instance, std::string name, std::size_t clients, std::vector<std::string> targets)
    : bed_(bed)
    , instance_(std::move(instance))
    , name_(std::move(name))
    , clients_(clients)
    , targets_(std::move(targets))
    , client_(makeHttpClient(bed.loop(), ConnectionLimits{static_cast<std::uint32_t>(clients), static_cast<std::uint32_t>(clients), 0}))
{
}

Callers::~Callers()
{
    sending_ = false;
}

void Callers::start()
{
    sending_ = true;
    for (std::size_t number = 0; number < clients_; ++number) {
        send();
    }
}

void Callers::finish()
{
    sending_ = false;
    bed_.loop().runUntil([this] { return waiting_ == 0; }, RequestTimeout + RequestTimeout);
}

void Callers::run(Duration span)
{
    start();
    bed_.loop().runUntil([] { return false; }, span);
    finish();
}

void Callers::send()
{
    if (!sending_) {
        return;
    }
    const std::string id = name_ + std::to_string(++sent_);
    HttpRequest request;
    request.address = bed_.clients(instance_);
    request.method = "GET";
    request.path = targets_[sent_ % targets_.size()] + id;
    request.headers = {{"host", "shop.example"}, {"Attempt-Id", id}, {"Timeout-Remaining", "3000"}};
    request.timeout = RequestTimeout;
    ++waiting_;
    client_->send(std::move(request), [this, id](const Result<HttpResponse> &response) { onDone(id, response); });
}

void Callers::onDone(const std::string &id, const Result<HttpResponse> &response)
{
    --waiting_;
    if (response) {
        ++statuses_[response->status];
        if (response->status == OkStatus) {
            return send();
        }
    } else if (response.error().code == Errc::DeadlineExceeded) {
        ++late_;
    } else if (response.error().verdict == Verdict::NotRun) {
        ++unsent_;
    } else {
        lost_.push_back(id);
    }
    bed_.loop().schedule(RetryDelay, [this] { send(); });
}

int Callers::answered() const
{
    return std::accumulate(statuses_.begin(), statuses_.end(), 0, [](int sum, const auto &entry) { return sum + entry.second; });
}

std::string Callers::summary() const
{
    std::string text = instance_ + ":";
    for (const auto &[status, count] : statuses_) {
        text += " " + std::to_string(count) + " with status " + std::to_string(status) + ",";
    }
    return text + " " + std::to_string(lost_.size()) + " closed without an answer, " + std::to_string(unsent_) + " not sent, " + std::to_string(late_)
        + " late";
}

} // namespace Burdock
