#include <burdock/declarations/nearestname.h>

#include <algorithm>
#include <numeric>

namespace Burdock
{

namespace
{

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replaced});
        }
    }
    return row[b.size()];
}

} // namespace

std::optional<std::string> nearestName(std::string_view word, const std::vector<std::string> &names)
{
    std::optional<std::string> nearest;
    std::size_t minDistance = 1 + word.size() / 3;
    for (const std::string &name : names) {
        const std::size_t distance = editDistance(word, name);
        if (distance < minDistance || (distance == minDistance && !nearest)) {
            minDistance = distance;
            nearest = name;
        }
    }
    return nearest;
}

std::string nearestNameHint(std::string_view word, const std::vector<std::string> &names)
{
    const auto nearest = nearestName(word, names);
    return nearest ? "; did you mean '" + *nearest + "'?" : std::string();
}

} // namespace Burdock
