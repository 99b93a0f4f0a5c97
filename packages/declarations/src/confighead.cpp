#include <burdock/declarations/confighead.h>

#include <burdock/declarations/declarationset.h>
#include <burdock/wire/json.h>

#include <cstdio>
#include <nlohmann/json.hpp>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

/// Parses the text and converts it with `read`; BadRequest if the text or a field is not as `read` expects.
template<class T, class Read>
Result<T> parseRecord(const std::string &text, const char *kind, Read read)
{
    try {
        return read(Json::parse(text));
    } catch (const Json::exception &error) {
        return notRun(Errc::BadRequest, std::string("the ") + kind + " in the store cannot be read: " + error.what());
    }
}

std::string dump(const Json &json)
{
    return writeJson(json);
}

} // namespace

std::string configFileKey(const std::string &name, const std::string &hash)
{
    return "burdock/config/file/" + name + "/" + hash;
}

std::string configAuditKey(std::uint64_t version)
{
    char digits[32];
    std::snprintf(digits, sizeof digits, "%020llu", static_cast<unsigned long long>(version));
    return std::string("burdock/config/audit/") + digits;
}

std::string ConfigHead::toJson() const
{
    return dump(Json{{"version", version}, {"publishId", publishId}, {"hash", hash}, {"files", files}});
}

Result<ConfigHead> ConfigHead::parse(const std::string &text)
{
    auto head = parseRecord<ConfigHead>(text, "head record", [](const Json &json) {
        return ConfigHead{json.at("version").get<std::uint64_t>(),
                          json.at("publishId").get<std::string>(),
                          json.at("hash").get<std::string>(),
                          json.at("files").get<std::map<std::string, std::string>>()};
    });
    if (head && (head->version == 0 || head->hash != setHash(head->files))) {
        return notRun(Errc::BadRequest, "the head record in the store contradicts itself");
    }
    return head;
}

std::string AuditRecord::toJson() const
{
    return dump(Json{{"version", version}, {"base", base}, {"publishId", publishId}, {"who", who}, {"when", when}, {"why", why}, {"diff", diff}});
}

Result<AuditRecord> AuditRecord::parse(const std::string &text)
{
    return parseRecord<AuditRecord>(text, "audit record", [](const Json &json) {
        return AuditRecord{json.at("version").get<std::uint64_t>(),
                           json.at("base").get<std::uint64_t>(),
                           json.at("publishId").get<std::string>(),
                           json.at("who").get<std::string>(),
                           json.at("when").get<std::string>(),
                           json.at("why").get<std::string>(),
                           json.at("diff").get<std::string>()};
    });
}

} // namespace Burdock
