#include "publishplan.h"

#include <burdock/declarations/setdiff.h>

#include <ctime>

namespace Burdock
{

namespace
{

/// The maximum size of a value that is written to the store, in bytes.
constexpr std::size_t MaxValueBytes = std::size_t{900} * 1024;
/// The maximum size of a transaction, in bytes.
constexpr std::size_t MaxTransactionBytes = std::size_t{900} * 1024;
/// The maximum number of writes per transaction; the store's usual limit is 128.
constexpr std::size_t MaxTransactionWrites = 100;

/// Distributes writes over transactions within the limits. The last one stays open for the head and audit records.
class TransactionPacker
{
public:
    explicit TransactionPacker(std::size_t reservedBytes)
        : bytes_(reservedBytes)
        , reservedBytes_(reservedBytes)
    {
    }

    void add(StoreWrite write)
    {
        const std::size_t bytes = write.key.size() + write.value->size();
        if (bytes_ + bytes > MaxTransactionBytes || open_.size() + ReservedWrites >= MaxTransactionWrites) {
            full_.push_back({{}, std::move(open_), {}});
            open_.clear();
            bytes_ = reservedBytes_;
        }
        bytes_ += bytes;
        open_.push_back(std::move(write));
    }

    std::vector<StoreTransaction> takeFull()
    {
        return std::move(full_);
    }

    std::vector<StoreWrite> takeOpen()
    {
        return std::move(open_);
    }

private:
    /// The head and the audit record.
    static constexpr std::size_t ReservedWrites = 2;

    std::size_t bytes_;
    std::size_t reservedBytes_;
    std::vector<StoreTransaction> full_;
    std::vector<StoreWrite> open_;
};

} // namespace

std::string timestampText(WallTime time)
{
    const std::time_t seconds = std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[32];
    std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

Result<PublishPlan> planPublish(const PublishRequest &request, const StoredHead &current, const DeclarationSet &from, const std::string &when)
{
    const std::uint64_t version = current.head.version + 1;
    const std::string head = ConfigHead{version, request.publishId, request.set.hash(), request.set.hashes()}.toJson();
    const std::string audit =
        AuditRecord{version, current.head.version, request.publishId, request.who, when, request.why, diffText(from, request.set)}.toJson();
    if (head.size() + audit.size() > MaxValueBytes) {
        return notRun(Errc::TooLarge,
                      "the head and audit records would have " + std::to_string(head.size() + audit.size()) + " bytes, at most " + std::to_string(MaxValueBytes)
                          + " fit; publish fewer files or a shorter reason");
    }
    TransactionPacker packer(head.size() + audit.size());
    for (const auto &[name, file] : request.set.files()) {
        const auto known = current.head.files.find(name);
        if (known == current.head.files.end() || known->second != file.hash()) {
            packer.add({configFileKey(name, file.hash()), file.text(), 0});
        }
    }
    PublishPlan plan;
    plan.fileTransactions = packer.takeFull();
    plan.headTransaction.conditions = {{ConfigHeadKey, current.modRevision}, {configAuditKey(version), 0}};
    plan.headTransaction.writes = packer.takeOpen();
    plan.headTransaction.writes.push_back({ConfigHeadKey, head, 0});
    plan.headTransaction.writes.push_back({configAuditKey(version), audit, 0});
    return plan;
}

} // namespace Burdock
