#include <burdock/router/crashreportcodec.h>

#include <burdock/wire/json.h>

namespace Burdock
{

using Json = nlohmann::json;

std::string writeCrashReports(const std::vector<CrashReport> &reports, WallTime at)
{
    Json list = Json::array();
    for (const CrashReport &report : reports) {
        list.push_back({{"request", report.request.text()}, {"crashes", report.crashes}, {"alone", report.alone}});
    }
    return Json{{"atMs", at.time_since_epoch() / std::chrono::milliseconds(1)}, {"reports", std::move(list)}}.dump();
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
        const WallTime at{std::chrono::milliseconds(parsed->at("atMs").get<std::int64_t>())};
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
