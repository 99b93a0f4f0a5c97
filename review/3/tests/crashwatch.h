#pragma once

#include "../../1/tests/standin.h"

namespace Review
{

/// Plays the platform's part for instances that end by themselves: notes each end and starts the process again a second later.
class CrashWatch
{
public:
    CrashWatch(Run &run, const Store &store, std::vector<std::unique_ptr<Instance>> &instances)
        : run_(run)
        , store_(store)
        , instances_(instances)
    {
    }

    void check()
    {
        for (const auto &instance : instances_) {
            const auto how = instance->ended();
            if (how) {
                ++ends_[instance->id()];
                restartAt_[instance->id()] = Clock::now() + seconds(1);
                const std::string what = run_.lastWords(instance->id(), "what():");
                run_.record.say(instance->id() + " ended by itself: " + *how + (what.empty() ? "" : "," + what));
            }
            const auto due = restartAt_.find(instance->id());
            if (due != restartAt_.end() && Clock::now() >= due->second) {
                restartAt_.erase(due);
                instance->start(store_.address(), false);
            }
        }
    }

    /// The number of instances that ended by themselves three times or more.
    std::size_t endedThreeTimes() const
    {
        return static_cast<std::size_t>(std::count_if(ends_.begin(), ends_.end(), [](const auto &end) { return end.second >= 3; }));
    }

    std::size_t ends() const
    {
        std::size_t sum = 0;
        for (const auto &[id, count] : ends_) {
            sum += count;
        }
        return sum;
    }

private:
    Run &run_;
    const Store &store_;
    std::vector<std::unique_ptr<Instance>> &instances_;
    std::map<std::string, std::size_t> ends_;
    std::map<std::string, Clock::time_point> restartAt_;
};

/// Clients that use one instance each, with kept connections and a pause between requests. Counts the answers, and the requests
/// that ran at a server and whose connection was closed without an answer.
class Traffic
{
public:
    struct Terms
    {
        int clients = 30;
        double pause = 0.1;
        std::string method = "GET";
        std::string target = "/parts/belt";
        int timeoutMs = 1500;
    };

    Traffic(Run &run, std::vector<std::unique_ptr<Instance>> &instances, std::vector<std::unique_ptr<Server>> &servers, Terms terms)
        : run_(run)
        , servers_(servers)
    {
        for (int index = 0; index < terms.clients; ++index) {
            const std::string ip = instances[static_cast<std::size_t>(index) % instances.size()]->ip();
            clients_.emplace_back([this, ip, terms] { ask(ip, terms); });
        }
    }

    void stop()
    {
        running_ = false;
        for (std::thread &client : clients_) {
            client.join();
        }
        for (const auto &[what, count] : counts_) {
            run_.record.say(what + ": " + std::to_string(count));
        }
    }

    /// By instance, the requests on kept connections that a server had and that got no answer because the connection was closed.
    std::map<std::string, std::size_t> lost()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return lost_;
    }

private:
    void ask(const std::string &ip, const Terms &terms)
    {
        Client client;
        client.use(ip);
        while (running_) {
            const bool kept = client.connected();
            const Outcome outcome = client.ask(terms.method, terms.target, terms.method == "GET" ? "" : "one order", terms.timeoutMs);
            std::string what = "answered " + outcome.answer.word(1);
            if (outcome.end != Outcome::End::Answered) {
                const char *names[] = {"", "closed without an answer", "no answer in time", "not connected"};
                what = names[static_cast<int>(outcome.end)];
            }
            if (outcome.end == Outcome::End::Closed && kept) {
                for (const auto &server : servers_) {
                    if (server->stampOf(outcome.attempt)) {
                        const std::lock_guard<std::mutex> lock(mutex_);
                        ++lost_[ip];
                        run_.record.line("closed without an answer on a kept connection: " + outcome.attempt + ", which ran at " + server->id());
                    }
                }
            }
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                ++counts_[what];
            }
            sleepFor(outcome.end == Outcome::End::NotConnected ? 0.5 : terms.pause);
        }
    }

    Run &run_;
    std::vector<std::unique_ptr<Server>> &servers_;
    std::atomic<bool> running_{true};
    std::mutex mutex_;
    std::map<std::string, std::size_t> counts_;
    std::map<std::string, std::size_t> lost_;
    std::vector<std::thread> clients_;
};

} // namespace Review
