#pragma once

#include <map>
#include <random>
#include <string>
#include <utility>

namespace Burdock
{

/// Chooses for each start of an instance between the program that was built with the soak and one of an earlier build.
class SoakBuilds
{
public:
    enum class Order {
        /// All instances start with the earlier build and are replaced one by one.
        Forward,
        /// All start with the present build and are replaced one by one by the earlier one.
        Back,
        /// Each start draws one of the two.
        Mixed,
    };

    /// An empty path means that there is no earlier build.
    SoakBuilds(std::string earlier, Order order, std::uint64_t seed)
        : earlier_(std::move(earlier))
        , order_(order)
        , random_(seed)
    {
    }

    bool hasEarlier() const
    {
        return !earlier_.empty();
    }

    /// Whether instances are replaced one by one.
    bool replacesInTurn() const
    {
        return !earlier_.empty() && order_ != Order::Mixed;
    }

    /// Makes the instance run the other build from its next start on.
    void replace(const std::string &instance)
    {
        replaced_[instance] = true;
    }

    /// Returns the program of a start, or an empty path for the present build.
    std::string program(const std::string &instance)
    {
        if (earlier_.empty()) {
            return {};
        }
        const bool isMixed = order_ == Order::Mixed;
        const bool isEarlier = isMixed ? random_() % 2 == 0 : (order_ == Order::Forward) != replaced_[instance];
        isEarlier_[instance] = isEarlier;
        return isEarlier ? earlier_ : std::string();
    }

    /// Whether the instance runs the earlier build.
    bool isEarlier(const std::string &instance) const
    {
        const auto found = isEarlier_.find(instance);
        return found != isEarlier_.end() && found->second;
    }

private:
    const std::string earlier_;
    const Order order_;
    std::mt19937_64 random_;
    std::map<std::string, bool> replaced_;
    std::map<std::string, bool> isEarlier_;
};

} // namespace Burdock
