#pragma once

#include <burdock/policy/queryrun.h>

#include <functional>
#include <map>
#include <memory>

namespace Burdock
{

/// Validates callers' queries against the declarations, applies admission control and owns their runs.
class QueryCoordinator
{
public:
    using Done = QueryRun::Done;

    QueryCoordinator(QueryContext context, QueryRun::CurrentConfiguration current, Admission &admission);

    /// Starts a query. `done` is called once, possibly before `submit` returns, unless the query is abandoned first.
    /// Returns its number for `abandon`.
    std::uint64_t submit(const Query &query, Done done);

    /// Cancels a query whose caller has disconnected, with all its sub-requests.
    void abandon(std::uint64_t number);

    /// The number of running queries.
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
