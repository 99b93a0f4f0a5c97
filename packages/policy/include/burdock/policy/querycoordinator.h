#pragma once

#include <burdock/policy/queryrun.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Takes callers' queries: checks them against the declarations and keeps their runs.
class QueryCoordinator
{
public:
    using Done = QueryRun::Done;

    QueryCoordinator(QueryContext context, QueryRun::CurrentConfiguration current, Admission &admission);

    /// Starts a query. `done` is called once, possibly from within. Returns its number for `abandon`.
    std::uint64_t submit(const Query &query, Done done);

    /// The caller went away: all its sub-requests are cancelled.
    void abandon(std::uint64_t number);

    /// How many queries run.
    std::size_t running() const;

private:
    struct Running
    {
        AdmissionKey key;
        std::unique_ptr<QueryRun> run;
    };

    Result<CallerRule> check(const Query &query) const;
    void onQueryFinished(const Running &running);

    QueryContext context_;
    QueryRun::CurrentConfiguration current_;
    Admission &admission_;
    std::uint64_t last_ = 0;
    std::map<std::uint64_t, Running> runs_;
};

} // namespace Burdock
