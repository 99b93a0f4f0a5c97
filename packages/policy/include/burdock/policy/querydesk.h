#pragma once

#include <burdock/policy/queryrun.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Takes callers' queries: checks them against the declarations and keeps their runs.
class QueryDesk
{
public:
    using Done = QueryRun::Done;
    /// May refuse a checked query early; an empty result admits it.
    using Admission = std::function<std::optional<Failure>(const CallerRule &rule, const IndexDeclaration &index)>;

    QueryDesk(QueryContext context, QueryRun::CurrentConfiguration current, Admission admission);

    /// Starts a query. `done` is called once, possibly from within. Returns its number for `abandon`.
    std::uint64_t submit(const Query &query, Done done);

    /// The caller went away: all its sub-requests are cancelled.
    void abandon(std::uint64_t number);

    /// How many queries run.
    std::size_t running() const;

private:
    Result<CallerRule> check(const Query &query) const;

    QueryContext context_;
    QueryRun::CurrentConfiguration current_;
    Admission admission_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, std::unique_ptr<QueryRun>> runs_;
};

} // namespace Burdock
