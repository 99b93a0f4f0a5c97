#include <burdock/routing/instancerole.h>

namespace Burdock
{

namespace
{

constexpr RecordTerms ActiveTerms{std::chrono::seconds(3), std::chrono::seconds(1)};
constexpr RecordTerms StandbyTerms{std::chrono::seconds(20), std::chrono::milliseconds(6500)};

} // namespace

RecordTerms recordTerms(InstanceRole role)
{
    return role == InstanceRole::Active ? ActiveTerms : StandbyTerms;
}

InstanceRole instanceRole(InstanceRole current, bool directed, bool relay, bool settled)
{
    return current == InstanceRole::Active || (settled && (directed || relay)) ? InstanceRole::Active : InstanceRole::Standby;
}

} // namespace Burdock
