#include <burdock/policy/querycoordinator.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

namespace
{

/// True if any index or command is declared for the caller.
bool isDeclared(const Configuration &configuration, const CallerId &caller)
{
    const auto declaresCaller = [&caller](const auto &entry) { return entry.second.callers.count(caller) > 0; };
    return std::any_of(configuration.indexes.begin(), configuration.indexes.end(), declaresCaller)
        || std::any_of(configuration.commands.begin(), configuration.commands.end(), declaresCaller);
}

} // namespace

QueryCoordinator::QueryCoordinator(QueryContext context, QueryRun::CurrentConfiguration current, Admission &admission)
    : context_(context)
    , current_(std::move(current))
    , admission_(admission)
{
}

std::uint64_t QueryCoordinator::submit(const Query &query, Done done)
{
    const std::uint64_t number = ++last_;
    Result<CallerRule> rule = check(query);
    if (!rule) {
        ++context_.counters.refused;
        done(tl::make_unexpected(rule.error()));
        return number;
    }
    const AdmissionKey key{query.caller, rule->rank, query.index.text()};
    if (auto refusal = admission_.tryAdmit(key, rule->longestWait)) {
        ++context_.counters.refused;
        done(tl::make_unexpected(std::move(*refusal)));
        return number;
    }
    const auto added = runs_.emplace(number, Running{key, std::make_unique<QueryRun>(context_, current_, *rule, query)}).first;
    added->second.run->start([this, number, finished = std::move(done)](Result<QueryAnswer> result) {
        const auto node = runs_.extract(number);
        onQueryFinished(node.mapped());
        finished(std::move(result));
    });
    return number;
}

void QueryCoordinator::abandon(std::uint64_t number)
{
    const auto node = runs_.extract(number);
    if (!node.empty()) {
        ++context_.counters.cancelled;
        onQueryFinished(node.mapped());
    }
}

void QueryCoordinator::onQueryFinished(const Running &running)
{
    admission_.onRequestFinished(running.key, running.run->outcome());
}

std::size_t QueryCoordinator::running() const
{
    return runs_.size();
}

Result<CallerRule> QueryCoordinator::check(const Query &query) const
{
    const ConfigurationPtr configuration = current_();
    if (!configuration) {
        return notRun(Errc::NotReady, "this instance has no configuration yet; ask another one", std::chrono::seconds(1));
    }
    const auto index = configuration->indexes.find(query.index);
    if (index == configuration->indexes.end()) {
        return notRun(Errc::NotFound, "index '" + query.index.text() + "' is not declared");
    }
    const auto rule = index->second.callers.find(query.caller);
    if (rule == index->second.callers.end()) {
        if (!isDeclared(*configuration, query.caller)) {
            return notRun(Errc::UnknownCaller, "caller '" + query.caller.text() + "' is not declared");
        }
        return notRun(Errc::NotAllowed, "caller '" + query.caller.text() + "' is not declared for index '" + query.index.text() + "'");
    }
    if (query.limit == 0 || query.limit > context_.limits.maxHits) {
        return notRun(Errc::BadRequest, "limit must lie between 1 and " + std::to_string(context_.limits.maxHits));
    }
    if (query.text.size() > context_.limits.maxTextBytes) {
        return notRun(Errc::TooLarge, "the query's text is longer than " + std::to_string(context_.limits.maxTextBytes) + " bytes");
    }
    if (query.deadline && *query.deadline <= Duration{0}) {
        return notRun(Errc::DeadlineExceeded, "the deadline is past");
    }
    return rule->second;
}

} // namespace Burdock
