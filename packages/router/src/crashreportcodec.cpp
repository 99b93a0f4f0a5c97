#include <burdock/router/crashreportcodec.h>

#include <burdock/wire/json.h>

#include <cstdint>
#include <string>

namespace Burdock
{

using Json = nlohmann::json;

namespace
{

/// The end of the year 9999; greater values would overflow where times are subtracted.
constexpr std::int64_t MaxWallMs = 253402300799999;

} // namespace

std::string writeCrashReports(const std::vector<CrashReport> &reports, WallTime at)
{
    Json list = Json::array();
    for (const CrashReport &report : reports) {
        list.push_back({{"request", report.request.text()}, {"crashes", report.crashes}, {"alone", report.alone}});
    }
    return writeJson(Json{{"atMs", at.time_since_epoch() / std::chrono::milliseconds(1)}, {"reports", std::move(list)}});
}

Result<std::vector<CrashReport>> readCrashReports(const std::string &value, WallTime now)
{
    constexpr int Hexadecimal = 16;
    const auto parsed = parseJson(value);
    if (!parsed) {
        return tl::make_unexpected(parsed.error());
    }
    try {
        std::vector<CrashReport> reports;
        const auto atMs = parsed->at("atMs").get<std::int64_t>();
        if (atMs < 0 || atMs > MaxWallMs) {
            return notRun(Errc::BadRequest, "no crash reports: the time " + std::to_string(atMs) + " is out of range");
        }
        const WallTime at{std::chrono::milliseconds(atMs)};
        if (now - at >= CrashGuard::GuiltyTime) {
            return reports;
        }
        for (const Json &read : parsed->at("reports")) {
            if (reports.size() == CrashGuard::MaxShared) {
                break;
            }
            const std::uint64_t hash = std::stoull(read.at("request").get<std::string>(), nullptr, Hexadecimal);
            reports.push_back({RequestFingerprint(hash), read.at("crashes").get<std::uint32_t>(), read.at("alone").get<std::uint32_t>()});
        }
        return reports;
    } catch (const std::exception &error) {
        return notRun(Errc::BadRequest, std::string("no crash reports: ") + error.what());
    }
}

} // namespace Burdock
