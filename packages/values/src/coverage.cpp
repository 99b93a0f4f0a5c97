#include <burdock/values/snapshot.h>

#include <algorithm>
#include <cmath>

namespace Burdock
{

double Coverage::fraction() const
{
    if (complete()) {
        return 1.0;
    }
    const double answered = static_cast<double>(answeredKeys) / static_cast<double>(KeySpace);
    return std::min(answered, std::nextafter(1.0, 0.0));
}

} // namespace Burdock
