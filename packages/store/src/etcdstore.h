#pragma once

#include <burdock/store/store.h>
#include <burdock/wire/httpclient.h>

#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>

namespace Burdock
{

/// A Store that uses the JSON gateway of etcd v3.
class EtcdStore final : public Store
{
public:
    EtcdStore(Runtime &runtime, HttpClient &client, const Address &address, Duration timeout);
    ~EtcdStore() override;
    EtcdStore(const EtcdStore &) = delete;
    EtcdStore &operator=(const EtcdStore &) = delete;

    void range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done) override;
    void commit(StoreTransaction transaction, Callback<StoreCommit> done) override;
    void grantLease(std::int64_t seconds, Callback<std::int64_t> done) override;
    void keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done) override;
    void revokeLease(std::int64_t lease, Callback<std::int64_t> done) override;
    std::uint64_t watch(const std::string &key,
                        bool prefix,
                        std::int64_t fromRevision,
                        std::function<void(const StoreEntry &)> onChanged,
                        std::function<void(const Failure &)> onEnded) override;
    void unwatch(std::uint64_t watch) override;

private:
    struct Watch;
    using Reader = std::function<void(Result<nlohmann::json>)>;

    void call(const char *path, const nlohmann::json &body, Reader done);
    template<class T>
    void failLater(Callback<T> done, Failure failure);
    void readChunk(std::uint64_t id, const std::string &chunk);
    bool readLine(std::uint64_t id, const std::string &line);
    void endWatch(std::uint64_t id, const Failure &failure);

    Runtime &runtime_;
    HttpClient &client_;
    const Address address_;
    const Duration timeout_;
    std::uint64_t lastWatch_ = 0;
    std::map<std::uint64_t, std::unique_ptr<Watch>> watches_;
    /// Points to null after destruction, so that late callbacks do nothing.
    std::shared_ptr<EtcdStore *> self_;
};

} // namespace Burdock
