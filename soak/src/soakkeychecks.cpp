#include "soakkeychecks.h"
#include "soakload.h"

#include <algorithm>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

constexpr int OkStatus = 200;
constexpr int UnknownKeyStatus = 401;
constexpr Duration MaxConfigDelay = std::chrono::seconds(3);
constexpr Duration StabilityWindow = std::chrono::seconds(5);
constexpr Duration RollbackSlack = std::chrono::milliseconds(250);
constexpr Duration MaxFinalDelay = std::chrono::seconds(10);

} // namespace

SoakKeyChecks::SoakKeyChecks(SoakWorld &world, bool timed, Report report)
    : world_(world)
    , timed_(timed)
    , report_(std::move(report))
{
}

void SoakKeyChecks::onRequestFinished(const SoakRequest &request, int status)
{
    if (!world_.hasWorkspaces()) {
        return;
    }
    const SoakKey &key = request.key;
    const std::string who = request.attempt + " at " + request.instance + " with " + key.text;
    workspaces_[request.attempt] = key.workspace;
    if (status == UnknownKeyStatus) {
        notToRun_[request.attempt] = "was refused with 401";
    }
    if (key.workspace.empty()) {
        notToRun_[request.attempt] = "has a key that no configuration held";
        return;
    }
    if (status == UnknownKeyStatus && key.isOriginal && !key.withdrawnAt) {
        // Withdrawn while the request was on its way?
        const auto withdrawn = world_.workspaces().withdrawn();
        if (std::none_of(withdrawn.begin(), withdrawn.end(), [&key](const SoakKey &each) { return each.text == key.text; })) {
            report_("keys in force", who + " was refused with 401, but all configurations hold the key");
        }
    }
    Seen &seen = seen_[{request.instance, request.incarnation, key.text}];
    if (status == OkStatus && seen.refusedAt && request.sentAt > *seen.refusedAt + RollbackSlack) {
        report_("a withdrawn key stays withdrawn", who + " was served after a refusal");
    }
    seen.served = seen.served || status == OkStatus;
    if (status == UnknownKeyStatus && key.withdrawnAt && (seen.served || key.isOriginal) && !seen.refusedAt) {
        seen.refusedAt = world_.testbed().loop().now();
    }
    const Duration span = 2 * StabilityWindow;
    const bool isInTouch = world_.isUndisturbed("store", span) && world_.isUndisturbed("links", span) && world_.isUndisturbed(request.instance, span)
        && !world_.isCutOff(request.instance);
    if (timed_ && isInTouch && key.withdrawnAt && request.sentAt > *key.withdrawnAt + MaxConfigDelay) {
        notToRun_[request.attempt] = "has a key that was withdrawn some seconds before";
    }
}

void SoakKeyChecks::checkWithdrawn()
{
    if (!world_.hasWorkspaces()) {
        return;
    }
    int number = 0;
    const TimePoint end = world_.testbed().loop().now() + MaxFinalDelay;
    for (const SoakKey &key : world_.workspaces().withdrawn()) {
        for (const std::string &instance : world_.instances()) {
            const bool isRefused = world_.testbed().eventually(
                [&] {
                    const std::string attempt = "withdrawn-" + std::to_string(++number);
                    const auto answer =
                        world_.testbed().call(world_.testbed().clients(instance),
                                              "GET",
                                              "/one/x",
                                              {{"host", "shop.example"}, {"Attempt-Id", attempt}, {"Timeout-Remaining", "3000"}, {"Key", key.text}});
                    return answer && answer->status == UnknownKeyStatus;
                },
                std::max(Duration{0}, end - world_.testbed().loop().now()));
            if (!isRefused) {
                report_("a withdrawn key is refused", instance + " does not refuse " + key.text + " at the end");
            }
        }
    }
}

void SoakKeyChecks::checkEnd(const Json &ran)
{
    if (!world_.hasWorkspaces()) {
        return;
    }
    for (const auto &[attempt, why] : notToRun_) {
        if (ran.contains(attempt)) {
            std::string what = attempt;
            what.append(" ran but ").append(why);
            report_("keys are needed", what);
        }
    }
    const Json told = world_.testbed().control("GET", "/fake/workspaces");
    for (const auto &[attempt, workspace] : workspaces_) {
        for (const Json &each : told.value(attempt, Json::array())) {
            if (each != workspace) {
                std::string what = attempt;
                what.append(" of '").append(workspace).append("' came as that of ").append(each.dump());
                report_("servers get the workspace of the key", what);
            }
        }
    }
}

} // namespace Burdock
