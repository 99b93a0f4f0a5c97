#include "etcdstore.h"

#include "gatewayjson.h"

#include <burdock/store/factories.h>
#include <burdock/wire/json.h>

#include <algorithm>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int OkStatus = 200;
/// Each watch occupies a connection, so the connection limit must exceed the number of watches.
constexpr ConnectionLimits StoreConnections{16, 4, std::size_t{32} << 20};
/// A watch is ended after this time and must be started again.
constexpr Duration MaxWatchDuration = std::chrono::hours(24);
/// A longer line ends the watch.
constexpr std::size_t MaxWatchLineBytes = std::size_t{32} << 20;

/// Maps a gRPC status code from a gateway error to an error and a verdict.
struct GatewayCode
{
    int code;
    Errc errc;
    Verdict verdict;
};

/// For any other code it is unknown whether the call took effect.
constexpr GatewayCode GatewayCodes[] = {
    {3, Errc::BadRequest, Verdict::NotRun}, // InvalidArgument
    {5, Errc::NotFound, Verdict::NotRun}, // NotFound
    {7, Errc::NotAllowed, Verdict::NotRun}, // PermissionDenied
    {8, Errc::Overloaded, Verdict::NotRun}, // ResourceExhausted
    {11, Errc::WrongVersion, Verdict::NotRun}, // OutOfRange
    {12, Errc::NotFound, Verdict::NotRun}, // Unimplemented
    {16, Errc::NotAllowed, Verdict::NotRun}, // Unauthenticated
};

Failure gatewayFailure(const HttpResponse &response)
{
    const Json body = Json::parse(response.body, nullptr, false);
    const bool readable = body.is_object() && body.contains("code") && body["code"].is_number_integer();
    const int code = readable ? body["code"].get<int>() : 0;
    const std::string text = readable ? body.value("message", std::string()) : std::string();
    const std::string message = "the store answered " + std::to_string(response.status) + (text.empty() ? "" : ": " + text);
    const auto *const known = std::find_if(std::begin(GatewayCodes), std::end(GatewayCodes), [code](const auto &each) { return each.code == code; });
    if (known == std::end(GatewayCodes)) {
        return Failure{Errc::Unavailable, Verdict::MayHaveRun, message, Duration{0}};
    }
    return Failure{known->errc, known->verdict, message, Duration{0}};
}

/// Parses the JSON of a reply.
Result<Json> readReply(const Result<HttpResponse> &response)
{
    if (!response) {
        return tl::make_unexpected(response.error());
    }
    if (response->status != OkStatus) {
        return tl::make_unexpected(gatewayFailure(*response));
    }
    Json body = Json::parse(response->body, nullptr, false);
    if (!body.is_object()) {
        return mayHaveRun(Errc::ConnectionLost, "the store's reply is malformed");
    }
    return body;
}

/// Reads the fields of a reply. If fields are missing, it is unknown whether the call took effect.
template<class T>
Result<T> readFields(const Result<Json> &reply, T (*read)(const Json &))
{
    if (!reply) {
        return tl::make_unexpected(reply.error());
    }
    try {
        return read(*reply);
    } catch (const std::exception &error) {
        return mayHaveRun(Errc::ConnectionLost, std::string("the store's reply is malformed: ") + error.what());
    }
}

/// Sets the verdict of a failed read to NotRun, because a read has no effect.
template<class T>
Result<T> asRead(Result<T> result)
{
    if (!result) {
        result.error().verdict = Verdict::NotRun;
    }
    return result;
}

std::int64_t leaseIdOf(const Json &reply)
{
    return std::stoll(reply.at("ID").get<std::string>());
}

std::int64_t leaseSeconds(const Json &reply)
{
    return GatewayJson::number(reply.at("result"), "TTL");
}

bool hasOversizedValue(const StoreTransaction &transaction)
{
    return std::any_of(
        transaction.writes.begin(), transaction.writes.end(), [](const StoreWrite &write) { return write.value && write.value->size() > MaxStoreValueBytes; });
}

bool hasTooManyOperations(const StoreTransaction &transaction)
{
    return std::max({transaction.conditions.size(), transaction.writes.size(), transaction.readOnConflict.size()}) > MaxStoreOperations;
}

} // namespace

struct EtcdStore::Watch
{
    std::function<void(const StoreEntry &)> onChanged;
    std::function<void(const Failure &)> onEnded;
    HttpCallId call = 0;
    /// Ends the watch if the store does not confirm it within the timeout.
    TimerId confirmationTimer = 0;
    std::string incompleteLine;
};

EtcdStore::EtcdStore(Runtime &runtime, HttpClient &client, const Address &address, Duration timeout)
    : runtime_(runtime)
    , client_(client)
    , address_(address)
    , timeout_(timeout)
    , self_(std::make_shared<EtcdStore *>(this))
{
    client_.setLimits(address_, StoreConnections);
}

EtcdStore::~EtcdStore()
{
    *self_ = nullptr;
    for (const auto &watch : watches_) {
        client_.cancel(watch.second->call);
        runtime_.cancel(watch.second->confirmationTimer);
    }
}

void EtcdStore::call(const char *path, const Json &body, Reader done)
{
    HttpRequest request;
    request.address = address_;
    request.method = "POST";
    request.path = path;
    request.headers["Content-Type"] = "application/json";
    request.body = writeJson(body);
    request.timeout = timeout_;
    client_.send(std::move(request), [self = self_, done = std::move(done)](const Result<HttpResponse> &response) {
        if (*self != nullptr) {
            done(readReply(response));
        }
    });
}

template<class T>
void EtcdStore::failLater(Callback<T> done, Failure failure)
{
    runtime_.schedule(Duration{0}, [self = self_, done = std::move(done), failure = std::move(failure)] {
        if (*self != nullptr) {
            done(tl::make_unexpected(failure));
        }
    });
}

void EtcdStore::range(const std::string &key, bool prefix, std::int64_t limit, Callback<StoreRange> done)
{
    call("/v3/kv/range", GatewayJson::rangeRequest(key, prefix, limit), [done = std::move(done)](const Result<Json> &reply) {
        done(asRead(readFields(reply, &GatewayJson::rangeReply)));
    });
}

void EtcdStore::commit(StoreTransaction transaction, Callback<StoreCommit> done)
{
    if (hasOversizedValue(transaction)) {
        return failLater(std::move(done), Failure{Errc::TooLarge, Verdict::NotRun, "a value is over 1 MB", Duration{0}});
    }
    if (hasTooManyOperations(transaction)) {
        return failLater(std::move(done), Failure{Errc::TooLarge, Verdict::NotRun, "too many operations in one transaction", Duration{0}});
    }
    call("/v3/kv/txn", GatewayJson::transactionRequest(transaction), [done = std::move(done)](const Result<Json> &reply) {
        done(readFields(reply, &GatewayJson::transactionReply));
    });
}

void EtcdStore::grantLease(std::int64_t seconds, Callback<std::int64_t> done)
{
    const Json body{{"TTL", std::to_string(seconds)}};
    call("/v3/lease/grant", body, [done = std::move(done)](const Result<Json> &reply) { done(readFields(reply, &leaseIdOf)); });
}

void EtcdStore::keepLeaseAlive(std::int64_t lease, Callback<std::int64_t> done)
{
    const Json body{{"ID", std::to_string(lease)}};
    call("/v3/lease/keepalive", body, [done = std::move(done)](const Result<Json> &reply) {
        Result<std::int64_t> seconds = readFields(reply, &leaseSeconds);
        if (seconds && *seconds <= 0) {
            seconds = notRun(Errc::NotFound, "the lease has lapsed");
        }
        done(std::move(seconds));
    });
}

void EtcdStore::revokeLease(std::int64_t lease, Callback<std::int64_t> done)
{
    const Json body{{"ID", std::to_string(lease)}};
    call("/v3/lease/revoke", body, [lease, done = std::move(done)](const Result<Json> &reply) {
        done(reply ? Result<std::int64_t>(lease) : tl::make_unexpected(reply.error()));
    });
}

std::uint64_t EtcdStore::watch(const std::string &key,
                               bool prefix,
                               std::int64_t fromRevision,
                               std::function<void(const StoreEntry &)> onChanged,
                               std::function<void(const Failure &)> onEnded)
{
    const std::uint64_t id = ++lastWatch_;
    auto watch = std::make_unique<Watch>();
    watch->onChanged = std::move(onChanged);
    watch->onEnded = std::move(onEnded);
    HttpRequest request;
    request.address = address_;
    request.method = "POST";
    request.path = "/v3/watch";
    request.headers["Content-Type"] = "application/json";
    request.body = writeJson(GatewayJson::watchRequest(key, prefix, fromRevision));
    request.timeout = MaxWatchDuration;
    request.onBodyChunk = [this, id](const std::string &chunk) { readChunk(id, chunk); };
    watch->call = client_.send(std::move(request), [this, id](const Result<HttpResponse> &response) {
        const Result<Json> reply = response && response->status == OkStatus ? notRun(Errc::Unavailable, "the store ended the watch") : readReply(response);
        endWatch(id, reply ? Failure{} : reply.error());
    });
    watch->confirmationTimer = runtime_.schedule(timeout_, [this, id] {
        endWatch(id, Failure{Errc::DeadlineExceeded, Verdict::NotRun, "the store did not confirm the watch", Duration{0}});
    });
    watches_[id] = std::move(watch);
    return id;
}

void EtcdStore::readChunk(std::uint64_t id, const std::string &chunk)
{
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
        return;
    }
    std::string text = std::move(found->second->incompleteLine) + chunk;
    std::size_t begin = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', begin)) {
        if (!readLine(id, text.substr(begin, end - begin))) {
            return;
        }
        begin = end + 1;
    }
    text.erase(0, begin);
    if (text.size() > MaxWatchLineBytes) {
        return endWatch(id, Failure{Errc::TooLarge, Verdict::NotRun, "a line of the watch is over the limit", Duration{0}});
    }
    watches_.at(id)->incompleteLine = std::move(text);
}

/// Returns false if the watch has ended.
bool EtcdStore::readLine(std::uint64_t id, const std::string &line)
{
    GatewayJson::WatchLine read;
    try {
        read = GatewayJson::watchLine(line);
    } catch (const std::exception &error) {
        endWatch(id, Failure{Errc::ConnectionLost, Verdict::NotRun, std::string("the watch is malformed: ") + error.what(), Duration{0}});
        return false;
    }
    runtime_.cancel(watches_.at(id)->confirmationTimer);
    for (const StoreEntry &change : read.changes) {
        const auto onChanged = watches_.at(id)->onChanged;
        onChanged(change);
        if (watches_.count(id) == 0) {
            return false;
        }
    }
    if (read.cancelled) {
        const Errc code = read.compacted ? Errc::WrongVersion : Errc::Unavailable;
        endWatch(id, Failure{code, Verdict::NotRun, "the store ended the watch", Duration{0}});
        return false;
    }
    return true;
}

void EtcdStore::endWatch(std::uint64_t id, const Failure &failure)
{
    const auto node = watches_.extract(id);
    if (node.empty()) {
        return;
    }
    client_.cancel(node.mapped()->call);
    runtime_.cancel(node.mapped()->confirmationTimer);
    Failure reported = failure;
    reported.verdict = Verdict::NotRun;
    node.mapped()->onEnded(reported);
}

void EtcdStore::unwatch(std::uint64_t id)
{
    const auto node = watches_.extract(id);
    if (!node.empty()) {
        client_.cancel(node.mapped()->call);
        runtime_.cancel(node.mapped()->confirmationTimer);
    }
}

std::unique_ptr<Store> makeEtcdStore(Runtime &runtime, HttpClient &client, const Address &address, Duration timeout)
{
    return std::make_unique<EtcdStore>(runtime, client, address, timeout);
}

} // namespace Burdock
