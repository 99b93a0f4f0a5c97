#pragma once

#include <burdock/router/decisionlog.h>
#include <burdock/store/store.h>
#include <burdock/wire/httpclient.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Burdock
{

/// Asks other instances for the configuration that they have in force, for an instance that starts.
///
/// Load: a start while the store is away, or has just returned from a copy, after many instances were killed together: some of
/// the others do not run any more, and those that run have had no answer of the store for a while. Others are asked in turn, a
/// few at the same time, until enough have told a configuration. How old it is does not matter, since versions never go back.
class ConfigInquiry
{
public:
    struct Events
    {
        /// Called with each configuration that another instance has in force.
        std::function<void(const StoreEntry &)> onConfig;
        /// Called once there is nothing more to wait for.
        std::function<void()> onFinished;
    };

    ConfigInquiry(Runtime &runtime, HttpClient &client, DecisionLog &log, Events events);
    ~ConfigInquiry();
    ConfigInquiry(const ConfigInquiry &) = delete;
    ConfigInquiry &operator=(const ConfigInquiry &) = delete;

    /// Asks the instances at the addresses, the first ones first. Has an effect once only.
    void start(std::vector<Address> peers);

    /// Asks the instance at the address, which is known to have a newer configuration than this one.
    void ask(const Address &peer);

    /// Whether the start of the instance should wait for answers; at most for the time in which one answer is due.
    bool isPending() const;

    /// The path at which instances tell their configuration.
    static constexpr const char *Path = "/config";

private:
    void askNext();
    void send(const Address &peer, std::function<void(const Result<HttpResponse> &)> onAnswer);
    /// Takes over what an instance told; returns whether it told a configuration.
    bool takeAnswer(const Address &peer, const Result<HttpResponse> &response);
    void onAnswer(const Address &peer, const Result<HttpResponse> &response);

    Runtime &runtime_;
    HttpClient &client_;
    DecisionLog &log_;
    const Events events_;
    bool started_ = false;
    TimePoint waitUntil_{};
    /// The instances that have not been asked, the next one last.
    std::vector<Address> peers_;
    std::size_t asked_ = 0;
    std::size_t unanswered_ = 0;
    std::size_t told_ = 0;
    /// Whether an instance is being asked because its configuration is newer.
    bool asking_ = false;
    /// The instance that told of a newer configuration meanwhile.
    std::optional<Address> askLater_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace Burdock
