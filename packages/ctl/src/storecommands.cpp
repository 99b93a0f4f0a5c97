#include <burdock/ctl/subcommand.h>

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/collector.h>
#include <burdock/declarations/publisher.h>
#include <burdock/declarations/setdiff.h>
#include <burdock/wire/json.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <nlohmann/json.hpp>
#include <ostream>
#include <random>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// The time that the last attempts of a publish may take beyond its timeout.
constexpr Duration PublishMargin = std::chrono::seconds(5);

std::string randomId()
{
    std::random_device random;
    char digits[40];
    std::snprintf(digits, sizeof digits, "%08x%08x%08x%08x", random(), random(), random(), random());
    return digits;
}

Result<StoredHead> readHead(ToolContext &context, const OptionValues &values)
{
    context.progress("reading the head record");
    ConfigReader reader(context.store());
    return asReadResult(context.await<StoredHead>(millisecondsOf(values, "timeout-ms"), [&](auto done) { reader.readHead(std::move(done)); }));
}

Result<DeclarationSet> readFiles(ToolContext &context, const OptionValues &values, const ConfigHead &head, const DeclarationSet &known)
{
    context.progress("reading the files of version " + std::to_string(head.version));
    ConfigReader reader(context.store());
    return asReadResult(
        context.await<DeclarationSet>(millisecondsOf(values, "timeout-ms"), [&](auto done) { reader.readFiles(head, known, std::move(done)); }));
}

std::string publisherName(const OptionValues &values)
{
    const char *user = std::getenv("USER");
    return values.text("who").empty() && user != nullptr ? user : values.text("who");
}

/// The version that `--base` names; `current` is the version of `head`, the store's head.
Result<std::uint64_t> parseBase(const OptionValues &values, const StoredHead &head)
{
    if (values.text("base") == "current") {
        return head.head.version;
    }
    const auto base = numberInRange(values.text("base"), 0, std::numeric_limits<std::uint64_t>::max());
    if (!base) {
        return notRun(Errc::BadRequest, "--base must be the version that the files were changed from, or 'current'; 'burdockctl show' prints the newest");
    }
    return *base;
}

/// Sends the accepted version to instances and prints on how many of them it is in force.
void push(ToolContext &context, const OptionValues &values, const PublishRequest &request, const StoredHead &before, std::uint64_t version)
{
    const Duration limit = millisecondsOf(values, "push-ms");
    if (limit == Duration{0}) {
        return;
    }
    ConfigPush push{{version, request.publishId, request.set.hash(), request.set.hashes()}, {}};
    for (const auto &[name, file] : request.set.files()) {
        const auto known = before.head.files.find(name);
        if (known == before.head.files.end() || known->second != file.hash()) {
            push.files.push_back({name, file.hash(), file.text()});
        }
    }
    const PushReport report = pushConfiguration(context, push, limit);
    context.err() << "in force on " << report.inForce << " of " << report.contacted
                  << " instances that it was sent to; 'burdockctl status' shows all instances\n";
}

ExitCode printReport(ToolContext &context, const OptionValues &values, const PublishRequest &request, const PublishReport &report)
{
    static constexpr const char *Names[] = {"accepted", "unchanged", "conflict"};
    const char *name = Names[static_cast<std::size_t>(report.outcome)];
    if (values.on("json")) {
        context.out() << writeJson(Json{{"outcome", name}, {"version", report.version}, {"publishId", request.publishId}, {"diff", report.diff}}) << '\n';
    } else if (report.outcome == PublishOutcome::Conflict) {
        context.out() << "conflict: the store is at version " << report.version << ", these files were changed from version " << request.base
                      << ". Nothing was written. Diff from the store's files to these:\n"
                      << report.diff;
    } else {
        context.out() << name << " as version " << report.version << ", publish id " << request.publishId << '\n' << report.diff;
    }
    return report.outcome == PublishOutcome::Conflict ? ExitCode::Conflict : ExitCode::Ok;
}

Json recordJson(const AuditRecord &record)
{
    return {{"version", record.version},
            {"base", record.base},
            {"publishId", record.publishId},
            {"who", record.who},
            {"when", record.when},
            {"why", record.why},
            {"diff", record.diff}};
}

} // namespace

ExitCode publishCommand(ToolContext &context, const OptionValues &values)
{
    const auto set = collectDeclarations(values.arguments);
    if (!set) {
        return reportFailure(context, set.error());
    }
    if (!checkDeclarations(*set, 1)) {
        return checkCommand(context, values);
    }
    if (values.text("why").empty() || publisherName(values).empty()) {
        context.err() << "--why must give the reason for the audit trail, and --who the name of the publisher\n";
        return ExitCode::Usage;
    }
    const auto head = readHead(context, values);
    if (!head) {
        return reportFailure(context, head.error());
    }
    const auto base = parseBase(values, *head);
    if (!base) {
        reportFailure(context, base.error());
        return ExitCode::Usage;
    }
    const std::string id = values.text("publish-id").empty() ? randomId() : values.text("publish-id");
    const PublishRequest request{*set, *base, id, publisherName(values), values.text("why")};
    context.progress("publishing on version " + std::to_string(*base) + ", publish id " + id);
    const Duration timeout = millisecondsOf(values, "timeout-ms");
    Publisher publisher(context.runtime(), context.store(), timeout);
    const auto report = context.await<PublishReport>(timeout + PublishMargin, [&](auto done) { publisher.publish(request, std::move(done)); });
    if (!report) {
        const ExitCode code = reportFailure(context, report.error());
        if (code == ExitCode::MayHaveRun) {
            context.err() << "to resolve this, repeat the command with --base " << *base << " --publish-id " << id << '\n';
        }
        return code;
    }
    if (report->outcome == PublishOutcome::Accepted && report->version > head->head.version) {
        push(context, values, request, *head, report->version);
    }
    return printReport(context, values, request, *report);
}

ExitCode diffCommand(ToolContext &context, const OptionValues &values)
{
    const auto set = collectDeclarations(values.arguments);
    if (!set) {
        return reportFailure(context, set.error());
    }
    const auto head = readHead(context, values);
    if (!head) {
        return reportFailure(context, head.error());
    }
    const auto stored = readFiles(context, values, head->head, *set);
    if (!stored) {
        return reportFailure(context, stored.error());
    }
    const std::string diff = diffText(*stored, *set);
    if (values.on("json")) {
        context.out() << writeJson(Json{{"version", head->head.version}, {"diff", diff}}) << '\n';
    } else {
        context.out() << "from version " << head->head.version << (diff.empty() ? ": no difference\n" : "\n") << diff;
    }
    return diff.empty() ? ExitCode::Ok : ExitCode::ProblemsFound;
}

ExitCode historyCommand(ToolContext &context, const OptionValues &values)
{
    constexpr std::uint64_t MaxRecords = 10000;
    const auto limit = numberInRange(values.text("limit"), 1, MaxRecords);
    if (!limit) {
        context.err() << "--limit needs a number from 1 to " << MaxRecords << '\n';
        return ExitCode::Usage;
    }
    const auto head = readHead(context, values);
    if (!head) {
        return reportFailure(context, head.error());
    }
    const std::uint64_t last = head->head.version;
    ConfigReader reader(context.store());
    const auto records = asReadResult(context.await<std::vector<AuditRecord>>(
        millisecondsOf(values, "timeout-ms"), [&](auto done) { reader.readAudit(last > *limit ? last - *limit + 1 : 1, last, std::move(done)); }));
    if (!records) {
        return reportFailure(context, records.error());
    }
    Json list = Json::array();
    for (const AuditRecord &record : *records) {
        if (values.on("json")) {
            list.push_back(recordJson(record));
        } else {
            context.out() << "version " << record.version << " on " << record.base << "  " << record.when << "  " << record.who << "  " << record.publishId
                          << "\n    " << record.why << '\n'
                          << record.diff << '\n';
        }
    }
    if (values.on("json")) {
        context.out() << writeJson(Json{{"version", last}, {"records", list}}) << '\n';
    }
    return ExitCode::Ok;
}

ExitCode showCommand(ToolContext &context, const OptionValues &values)
{
    const auto stored = readHead(context, values);
    if (!stored) {
        return reportFailure(context, stored.error());
    }
    ConfigHead head = stored->head;
    if (values.arguments.empty()) {
        if (values.on("json")) {
            context.out() << (head.version != 0 ? head.toJson() : "{\"version\":0}") << '\n';
            return ExitCode::Ok;
        }
        context.out() << "version " << head.version << ", publish id " << head.publishId << ", hash " << head.hash << '\n';
        for (const auto &[name, hash] : head.files) {
            context.out() << hash << "  " << name << '\n';
        }
        return ExitCode::Ok;
    }
    const std::string &name = values.arguments.front();
    if (head.files.count(name) == 0) {
        return reportFailure(context, {Errc::NotFound, Verdict::NotRun, "version " + std::to_string(head.version) + " has no file " + name, Duration{0}});
    }
    head.files = {{name, head.files.at(name)}};
    const auto files = readFiles(context, values, head, {});
    if (!files) {
        return reportFailure(context, files.error());
    }
    context.out() << files->files().at(name).text();
    return ExitCode::Ok;
}

} // namespace Burdock
