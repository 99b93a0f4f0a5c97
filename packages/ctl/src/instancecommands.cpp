#include <burdock/ctl/subcommand.h>
#include <burdock/wire/json.h>

#include <iomanip>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

HttpRequest makeGetRequest(const Address &address, const std::string &path, Duration timeout)
{
    HttpRequest request;
    request.address = address;
    request.method = "GET";
    request.path = path;
    request.timeout = timeout;
    return request;
}

Result<HttpResponse> send(ToolContext &context, const HttpRequest &request)
{
    return context.await<HttpResponse>(2 * request.timeout, [&](auto done) { context.http().send(request, std::move(done)); });
}

/// The addresses to try in order: that of --instance, or those of all listed instances that are not leaving.
Result<std::vector<Address>> candidateAddresses(ToolContext &context, const OptionValues &values)
{
    if (!values.text("instance").empty()) {
        auto address = Address::parse(values.text("instance"));
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        return std::vector{*address};
    }
    const auto list = readInstances(context, millisecondsOf(values, "timeout-ms"));
    if (!list) {
        return tl::make_unexpected(list.error());
    }
    std::vector<Address> addresses;
    for (const ListedInstance &instance : list->instances) {
        if (!instance.leaving) {
            addresses.push_back(instance.callers);
        }
    }
    return addresses;
}

/// The response to `GET /v1/entries` of the first instance that answers.
Result<Json> readEntries(ToolContext &context, const OptionValues &values)
{
    const auto addresses = candidateAddresses(context, values);
    if (!addresses) {
        return tl::make_unexpected(addresses.error());
    }
    for (const Address &address : *addresses) {
        context.progress("requesting " + address.toString() + "/v1/entries");
        const auto response = send(context, makeGetRequest(address, "/v1/entries", std::chrono::seconds(2)));
        Json answer = response && response->status == 200 ? Json::parse(response->body, nullptr, false) : Json();
        if (answer.is_object() && answer.contains("entries") && answer["entries"].is_array()) {
            return answer;
        }
    }
    return notRun(Errc::Unavailable, "none of " + std::to_string(addresses->size()) + " instances returned the entries");
}

/// The status of one instance, a row of `burdockctl status`.
struct InstanceStatus
{
    ListedInstance instance;
    bool answered = false;
    Json configuration = Json::object();
};

std::vector<InstanceStatus> requestStatuses(ToolContext &context, const std::vector<ListedInstance> &instances)
{
    constexpr Duration StatusTimeout = std::chrono::seconds(2);
    const auto statuses = std::make_shared<std::vector<InstanceStatus>>();
    const auto completed = std::make_shared<std::size_t>(0);
    for (const ListedInstance &instance : instances) {
        statuses->push_back({instance, false, Json::object()});
    }
    for (std::size_t index = 0; index < instances.size(); ++index) {
        context.http().send(makeGetRequest(instances[index].callers, "/v1/status", StatusTimeout),
                            [statuses, completed, index](const Result<HttpResponse> &response) {
                                ++*completed;
                                const Json answer = response && response->status == 200 ? Json::parse(response->body, nullptr, false) : Json();
                                if (answer.is_object()) {
                                    (*statuses)[index].answered = true;
                                    (*statuses)[index].configuration = answer.value("configuration", Json::object());
                                }
                            });
    }
    context.waitFor([&] { return *completed == instances.size(); }, 2 * StatusTimeout);
    return *statuses;
}

std::string fieldText(const Json &object, const char *field)
{
    if (!object.is_object() || !object.contains(field)) {
        return "-";
    }
    return object[field].is_string() ? object[field].get<std::string>() : writeJson(object[field]);
}

void printStatuses(ToolContext &context, const std::vector<InstanceStatus> &statuses)
{
    const auto printRow = [&](const std::string &instance, const std::string &version, const std::string &since, const std::string &state) {
        context.out() << std::left << std::setw(24) << instance << std::setw(10) << version << std::setw(24) << since << state << '\n';
    };
    printRow("instance", "version", "in force since", "state");
    for (const InstanceStatus &status : statuses) {
        const Json &configuration = status.configuration;
        printRow(status.instance.id.text(),
                 fieldText(configuration, "version"),
                 fieldText(configuration, "inForceSince"),
                 status.answered ? fieldText(configuration, "state") : "no answer");
    }
}

void printStatusJson(ToolContext &context, const std::vector<InstanceStatus> &statuses)
{
    Json list = Json::array();
    for (const InstanceStatus &status : statuses) {
        list.push_back({{"instance", status.instance.id.text()},
                        {"address", status.instance.callers.toString()},
                        {"answered", status.answered},
                        {"configuration", status.configuration}});
    }
    context.out() << writeJson(Json{{"instances", list}}) << '\n';
}

Result<HttpRequest> makeAskRequest(const OptionValues &values)
{
    const std::string &kind = values.arguments[0];
    if (kind != "query" && kind != "command") {
        return notRun(Errc::BadRequest, "ask needs 'query' or 'command', not '" + kind + "'");
    }
    if (values.text("caller").empty()) {
        return notRun(Errc::BadRequest, "--caller must name the caller to send the request as");
    }
    Json body = kind == "query" ? Json{{"index", values.arguments[1]}, {"query", values.arguments[2]}}
                                : Json{{"command", values.arguments[1]}, {"payload", values.arguments[2]}};
    const auto limit = numberInRange(values.text("limit"), 1, 100000);
    const auto deadline = numberInRange(values.text("deadline-ms"), 1, 3600000);
    if (!limit || (!deadline && !values.text("deadline-ms").empty())) {
        return notRun(Errc::BadRequest, "--limit must be a number from 1 to 100000, --deadline-ms a number from 1 to 3600000");
    }
    if (kind == "query") {
        body["limit"] = *limit;
    }
    if (deadline) {
        body["deadlineMs"] = *deadline;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/" + kind;
    request.headers = {{"Content-Type", "application/json"}, {"X-Caller", values.text("caller")}};
    if (!values.text("key").empty()) {
        request.headers["Idempotency-Key"] = values.text("key");
    }
    request.body = writeJson(body);
    request.timeout = millisecondsOf(values, "timeout-ms");
    return request;
}

Failure failureOf(const HttpResponse &response)
{
    const Json answer = Json::parse(response.body, nullptr, false);
    if (!answer.is_object() || !answer.contains("error") || !answer["error"].is_object()) {
        return {
            Errc::Internal, Verdict::MayHaveRun, "the instance answered with status " + std::to_string(response.status) + " and no error message", Duration{0}};
    }
    const Json &error = answer["error"];
    return {errcFromName(fieldText(error, "code")),
            verdictFromName(fieldText(error, "verdict")).value_or(Verdict::MayHaveRun),
            fieldText(error, "message"),
            Duration{0}};
}

void printHits(ToolContext &context, const Json &answer)
{
    for (const Json &hit : answer.value("hits", Json::array())) {
        context.out() << fieldText(hit, "score") << "  " << fieldText(hit, "id") << "  " << fieldText(hit, "body") << '\n';
    }
    const Json coverage = answer.value("coverage", Json::object());
    context.out() << "coverage " << fieldText(coverage, "fraction") << ", missing " << fieldText(coverage, "missing") << ", snapshot "
                  << fieldText(answer, "snapshot") << ", took " << fieldText(answer, "tookMs") << " ms\n";
}

} // namespace

Result<InstanceList> readInstances(ToolContext &context, Duration limit)
{
    context.progress("reading the instance list");
    auto list = context.await<InstanceList>(limit, [&](auto done) { context.instanceList().follow([done](const InstanceList &read) { done(read); }); });
    context.instanceList().stop();
    if (!list) {
        return notRun(Errc::Unavailable, "the instance list did not answer in time");
    }
    return list;
}

ExitCode statusCommand(ToolContext &context, const OptionValues &values)
{
    const auto list = readInstances(context, millisecondsOf(values, "timeout-ms"));
    if (!list) {
        return reportFailure(context, list.error());
    }
    context.progress("requesting the status of " + std::to_string(list->instances.size()) + " instances");
    const auto statuses = requestStatuses(context, list->instances);
    std::set<std::string> versions;
    bool allAnswered = true;
    for (const InstanceStatus &status : statuses) {
        versions.insert(fieldText(status.configuration, "version"));
        allAnswered = allAnswered && status.answered;
    }
    if (values.on("json")) {
        printStatusJson(context, statuses);
    } else {
        printStatuses(context, statuses);
    }
    return allAnswered && versions.size() == 1 ? ExitCode::Ok : ExitCode::ProblemsFound;
}

ExitCode entriesCommand(ToolContext &context, const OptionValues &values)
{
    const auto answer = readEntries(context, values);
    if (!answer) {
        return reportFailure(context, answer.error());
    }
    if (values.on("json")) {
        context.out() << writeJson(*answer) << '\n';
        return ExitCode::Ok;
    }
    for (const Json &entry : (*answer)["entries"]) {
        context.out() << fieldText(entry, "address") << "  " << fieldText(entry, "instance") << "  " << fieldText(entry, "dataCentre") << "  "
                      << fieldText(entry, "region") << '\n';
    }
    return ExitCode::Ok;
}

ExitCode askCommand(ToolContext &context, const OptionValues &values)
{
    auto request = makeAskRequest(values);
    if (!request) {
        reportFailure(context, request.error());
        return ExitCode::Usage;
    }
    const auto entries = readEntries(context, values);
    if (!entries) {
        return reportFailure(context, entries.error());
    }
    const Json &list = (*entries)["entries"];
    const auto address = Address::parse(list.empty() ? std::string() : fieldText(list[0], "address"));
    if (!address) {
        return reportFailure(context, {Errc::Unavailable, Verdict::NotRun, "there is no entry instance to send the request to", Duration{0}});
    }
    request->address = *address;
    const auto response = send(context, *request);
    if (!response) {
        return reportFailure(context, response.error());
    }
    if (response->status != 200) {
        const Failure failure = failureOf(*response);
        reportFailure(context, failure);
        return failure.verdict == Verdict::NotRun ? ExitCode::NotRun : ExitCode::MayHaveRun;
    }
    const Json answer = Json::parse(response->body, nullptr, false);
    if (values.on("json") || !answer.is_object()) {
        context.out() << response->body << '\n';
    } else if (values.arguments[0] == "query") {
        printHits(context, answer);
    } else {
        context.out() << fieldText(answer, "outcome") << (fieldText(answer, "replayed") == "true" ? "  (outcome of an earlier request)\n" : "\n");
    }
    return ExitCode::Ok;
}

} // namespace Burdock
