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
    const double part = static_cast<double>(answeredKeys) / static_cast<double>(KeySpace);
    return std::min(part, std::nextafter(1.0, 0.0));
}

} // namespace Burdock
