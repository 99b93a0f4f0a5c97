#include <burdock/daemon/claimstoreadapter.h>
#include <burdock/wire/json.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

using json = nlohmann::json;

constexpr std::size_t BucketDigits = 20;
constexpr std::array<const char *, 3> StateNames{"claimed", "ran", "released"};

std::string commandPrefix(const CommandName &command)
{
    return "burdock/claims/" + command.text() + "/";
}

std::string bucketPrefix(const CommandName &command, std::uint64_t bucket)
{
    const std::string digits = std::to_string(bucket);
    return commandPrefix(command) + "b/" + std::string(BucketDigits - digits.size(), '0') + digits + "/";
}

const StoreEntry *findEntry(const std::vector<StoreEntry> &entries, const std::string &key)
{
    const auto found = std::find_if(entries.begin(), entries.end(), [&key](const StoreEntry &entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

/// Reads a stored floor. A malformed floor counts as the highest possible one, so that no claim succeeds because of it.
ClaimFloor readFloor(const CommandName &command, const StoreEntry *entry)
{
    if (entry == nullptr) {
        return ClaimFloor{command, 0, 0};
    }
    const json value = json::parse(entry->value, nullptr, false);
    const bool readable = value.is_object() && value.contains("bucket") && value["bucket"].is_number_unsigned();
    return ClaimFloor{command, readable ? value["bucket"].get<std::uint64_t>() : UINT64_MAX, entry->modRevision};
}

StoreTransaction storeTransaction(const ClaimTransaction &transaction)
{
    StoreTransaction stored;
    for (const ClaimFloor &floor : transaction.floors) {
        stored.conditions.push_back(StoreCondition{claimFloorStoreKey(floor.command), floor.revision});
    }
    for (const ClaimWrite &write : transaction.writes) {
        std::string key = claimStoreKey(write.key);
        stored.conditions.push_back(StoreCondition{key, write.expected});
        stored.writes.push_back(StoreWrite{std::move(key), encodeClaimRecord(write.record), 0, {}});
    }
    for (const StoreCondition &condition : stored.conditions) {
        stored.readOnConflict.push_back(condition.key);
    }
    return stored;
}

ClaimCommit claimCommit(const ClaimTransaction &transaction, const StoreCommit &stored)
{
    ClaimCommit commit;
    commit.succeeded = stored.succeeded;
    commit.revision = stored.revision;
    if (stored.succeeded) {
        return commit;
    }
    for (const ClaimFloor &floor : transaction.floors) {
        commit.floors.push_back(readFloor(floor.command, findEntry(stored.current, claimFloorStoreKey(floor.command))));
    }
    for (const ClaimWrite &write : transaction.writes) {
        if (const StoreEntry *const entry = findEntry(stored.current, claimStoreKey(write.key))) {
            commit.claims.push_back(StoredClaim{write.key, entry->modRevision, decodeClaimRecord(entry->value)});
        }
    }
    return commit;
}

} // namespace

std::string claimStoreKey(const ClaimKey &key)
{
    return bucketPrefix(key.command, key.bucket) + key.key;
}

std::string claimFloorStoreKey(const CommandName &command)
{
    return commandPrefix(command) + "floor";
}

std::string encodeClaimRecord(const ClaimRecord &record)
{
    json object{{"claimant", record.claimant.text()},
                {"incarnation", record.incarnation},
                {"nonce", record.nonce},
                {"state", StateNames.at(static_cast<std::size_t>(record.state))}};
    if (record.state == ClaimState::Ran) {
        object["outcome"] = record.outcome;
    }
    return writeJson(object);
}

ClaimRecord decodeClaimRecord(const std::string &text)
{
    try {
        const json object = json::parse(text);
        const auto *const state = std::find(StateNames.begin(), StateNames.end(), object.at("state").get<std::string>());
        if (state == StateNames.end()) {
            return ClaimRecord{};
        }
        return ClaimRecord{InstanceId(object.at("claimant").get<std::string>()),
                           object.at("incarnation").get<std::uint64_t>(),
                           object.at("nonce").get<std::uint64_t>(),
                           static_cast<ClaimState>(state - StateNames.begin()),
                           object.value("outcome", std::string())};
    } catch (const json::exception &) {
        return ClaimRecord{};
    }
}

ClaimStoreAdapter::ClaimStoreAdapter(Store &store)
    : store_(store)
{
}

void ClaimStoreAdapter::commit(const ClaimTransaction &transaction, Callback<ClaimCommit> done)
{
    store_.commit(storeTransaction(transaction), [transaction, done = std::move(done)](const Result<StoreCommit> &result) {
        done(result ? Result<ClaimCommit>(claimCommit(transaction, *result)) : tl::make_unexpected(result.error()));
    });
}

void ClaimStoreAdapter::raiseFloor(const ClaimFloor &found, std::uint64_t bucket, Callback<ClaimFloor> done)
{
    const std::string key = claimFloorStoreKey(found.command);
    StoreTransaction transaction;
    transaction.conditions = {StoreCondition{key, found.revision}};
    transaction.writes = {StoreWrite{key, writeJson(json{{"bucket", bucket}}), 0, {}},
                          StoreWrite{bucketPrefix(found.command, 0), std::nullopt, 0, bucketPrefix(found.command, bucket)}};
    transaction.readOnConflict = {key};
    store_.commit(std::move(transaction), [found, bucket, key, done = std::move(done)](const Result<StoreCommit> &result) {
        if (!result) {
            return done(tl::make_unexpected(result.error()));
        }
        done(result->succeeded ? ClaimFloor{found.command, bucket, result->revision} : readFloor(found.command, findEntry(result->current, key)));
    });
}

} // namespace Burdock
