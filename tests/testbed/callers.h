#pragma once

#include "routertestbed.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Burdock
{

/// Clients that send requests to one instance, each over a connection that it keeps open, and count how the requests end.
class Callers
{
public:
    /// Each client sends the targets in turn, one request after the other. A `name` that no other callers have makes the ids unique.
    Callers(RouterTestbed &bed, std::string instance, std::string name, std::size_t clients, std::vector<std::string> targets);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Sends for a time, then waits until all requests have ended.
    void run(Duration span);

    /// Starts sending; `finish` stops it and waits until all requests have ended.
    void start();
    void finish();

    /// Responses by status.
    const std::map<int, int> &statuses() const
    {
        return statuses_;
    }

    int answered() const;

    /// Requests that were sent and whose connection was closed without a response, by id.
    const std::vector<std::string> &lost() const
    {
        return lost_;
    }

    /// Requests that got no connection, or one that was closed before anything was sent.
    int unsent() const
    {
        return unsent_;
    }

    /// Requests without a response within their time.
    int late() const
    {
        return late_;
    }

    /// A summary for messages.
    std::string summary() const;

private:
    void send();
    void onDone(const std::string &id, const Result<HttpResponse> &response);

    RouterTestbed &bed_;
    const std::string instance_;
    const std::string name_;
    const std::size_t clients_;
    const std::vector<std::string> targets_;
    std::unique_ptr<HttpClient> client_;
    bool sending_ = false;
    std::size_t waiting_ = 0;
    std::size_t sent_ = 0;
    std::map<int, int> statuses_;
    std::vector<std::string> lost_;
    int unsent_ = 0;
    int late_ = 0;
};

} // namespace Burdock
