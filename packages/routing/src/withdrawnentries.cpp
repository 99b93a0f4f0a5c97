#include <burdock/routing/withdrawnentries.h>

#include <burdock/values/comparison.h>

namespace Burdock
{

namespace
{

/// Sufficient for the replacement of every server of a large deployment.
constexpr std::size_t MaxEntries = 8192;

} // namespace

void WithdrawnEntries::add(const std::string &id, const EntryEdition &last)
{
    if (editions_.insert_or_assign(id, last).second) {
        order_.push_back(id);
    }
    while (order_.size() > MaxEntries) {
        editions_.erase(order_.front());
        order_.pop_front();
    }
}

void WithdrawnEntries::forget(const std::string &id)
{
    editions_.erase(id);
}

bool WithdrawnEntries::covers(const std::string &id, const EntryEdition &listed) const
{
    const auto found = editions_.find(id);
    return found != editions_.end() && (listed == found->second ? listed.sequence > 0 : listed.isBefore(found->second));
}

} // namespace Burdock
