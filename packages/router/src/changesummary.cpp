#include <burdock/router/changesummary.h>

#include <algorithm>

namespace Burdock
{

namespace
{

/// The number of ids in a line; the counts cover the rest.
constexpr std::size_t MaxIds = 12;

} // namespace

void ChangeSummary::add(const std::string &id, bool usable, std::int64_t revision)
{
    if (ids_.size() < MaxIds) {
        ids_.push_back(id + (usable ? "+" : "-"));
    }
    firstRevision_ = usable_ + unusable_ == 0 ? revision : std::min(firstRevision_, revision);
    lastRevision_ = std::max(lastRevision_, revision);
    ++(usable ? usable_ : unusable_);
}

void ChangeSummary::write(DecisionLog &log, const char *event)
{
    if (usable_ + unusable_ == 0) {
        return;
    }
    std::string ids;
    for (const std::string &id : ids_) {
        ids += (ids.empty() ? "" : " ") + id;
    }
    log.write(DecisionPriority::Change,
              event,
              {{"usable", usable_}, {"unusable", unusable_}, {"fromRevision", firstRevision_}, {"toRevision", lastRevision_}, {"ids", ids}});
    *this = {};
}

} // namespace Burdock
