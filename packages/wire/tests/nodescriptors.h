#pragma once

#include <algorithm>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace Burdock
{

/// Leaves the process no free descriptor while it lives.
class NoDescriptors
{
public:
    NoDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &before_);
        const int next = dup(STDERR_FILENO);
        close(next);
        const rlimit lowered{static_cast<rlim_t>(next), before_.rlim_max};
        setrlimit(RLIMIT_NOFILE, &lowered);
        // Descriptors below the limit may be free too.
        for (int filler = dup(STDERR_FILENO); filler >= 0; filler = dup(STDERR_FILENO)) {
            fillers_.push_back(filler);
        }
    }
    ~NoDescriptors()
    {
        std::for_each(fillers_.begin(), fillers_.end(), &::close);
        setrlimit(RLIMIT_NOFILE, &before_);
    }
    NoDescriptors(const NoDescriptors &) = delete;
    NoDescriptors &operator=(const NoDescriptors &) = delete;

private:
    rlimit before_{};
    std::vector<int> fillers_;
};

} // namespace Burdock
