#include <burdock/values/failure.h>

#include <algorithm>
#include <array>
#include <utility>

namespace Burdock
{

namespace
{

constexpr std::array<std::string_view, 20> ErrcNames{
    "ok",          "badRequest",     "tooLarge",  "notFound",     "unknownCaller", "notAllowed",     "deadlineExceeded", "overloaded",
    "unavailable", "draining",       "notReady",  "wrongVersion", "wrongShard",    "coverageTooLow", "claimedElsewhere", "keyExpired",
    "conflict",    "connectionLost", "cancelled", "internal",
};
static_assert(ErrcNames.size() == static_cast<std::size_t>(Errc::Internal) + 1);

class BurdockCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "burdock";
    }

    std::string message(int value) const override
    {
        return std::string(errcName(static_cast<Errc>(value)));
    }
};

} // namespace

std::string_view errcName(Errc code)
{
    const auto index = static_cast<std::size_t>(code);
    return index < ErrcNames.size() ? ErrcNames[index] : ErrcNames.back();
}

Errc errcFromName(std::string_view name)
{
    const auto found = std::find(ErrcNames.begin(), ErrcNames.end(), name);
    return found == ErrcNames.end() ? Errc::Internal : static_cast<Errc>(found - ErrcNames.begin());
}

const std::error_category &burdockCategory()
{
    static const BurdockCategory category;
    return category;
}

std::error_code make_error_code(Errc code)
{
    return {static_cast<int>(code), burdockCategory()};
}

tl::unexpected<Failure> notRun(Errc code, std::string message, Duration retryAfter)
{
    return tl::make_unexpected(Failure{code, Verdict::NotRun, std::move(message), retryAfter});
}

tl::unexpected<Failure> mayHaveRun(Errc code, std::string message)
{
    return tl::make_unexpected(Failure{code, Verdict::MayHaveRun, std::move(message), Duration{0}});
}

} // namespace Burdock
