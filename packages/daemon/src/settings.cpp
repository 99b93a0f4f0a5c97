#include <burdock/daemon/settings.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Burdock
{

namespace
{

/// Reads settings and collects all their faults, so that they are reported together.
class SettingsReader
{
public:
    explicit SettingsReader(const OptionValues &values)
        : values_(values)
    {
    }

    std::string nonEmptyText(const std::string &flag)
    {
        const std::string &text = values_.text(flag);
        if (text.empty()) {
            addFault(flag, "a name that is not empty");
        }
        return text;
    }

    Address address(const std::string &flag)
    {
        const Result<Address> parsed = Address::parse(values_.text(flag));
        if (!parsed) {
            addFault(flag, "an IP number and a port, such as 127.0.0.1:8080");
            return {};
        }
        return *parsed;
    }

    std::int64_t wholeNumber(const std::string &flag, const std::string &unit, std::int64_t min, std::int64_t max)
    {
        const std::string &text = values_.text(flag);
        std::int64_t value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < min || value > max) {
            addFault(flag, "a whole number of " + unit + " from " + std::to_string(min) + " to " + std::to_string(max));
        }
        return value;
    }

    Duration milliseconds(const std::string &flag, std::int64_t min, std::int64_t max)
    {
        return std::chrono::milliseconds(wholeNumber(flag, "milliseconds", min, max));
    }

    std::string oneOf(const std::string &flag, const std::vector<std::string> &allowed)
    {
        const std::string &text = values_.text(flag);
        if (std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
            std::string list;
            for (const std::string &word : allowed) {
                list += (list.empty() ? "" : ", ") + word;
            }
            addFault(flag, "one of " + list);
        }
        return text;
    }

    const std::string &faults() const
    {
        return faults_;
    }

private:
    void addFault(const std::string &flag, const std::string &allowed)
    {
        faults_ += (faults_.empty() ? "" : "\n") + std::string("--") + flag + " (" + settingsTable().variable(flag) + ") is '" + values_.text(flag)
            + "'; allowed is " + allowed;
    }

    const OptionValues &values_;
    std::string faults_;
};

} // namespace

const OptionTable &settingsTable()
{
    static const OptionTable table(
        "burdockd",
        "BURDOCKD_",
        "burdockd: one instance of the query tier.",
        {
            {"instance-id", "NAME", "", "The name of this instance; must stay the same after a restart."},
            {"region", "NAME", "", "The region of the instance."},
            {"data-centre", "NAME", "", "The data centre of the instance."},
            {"callers-address", "IP:PORT", "127.0.0.1:8080", "The address that callers connect to."},
            {"peers-address", "IP:PORT", "127.0.0.1:8081", "The address that other instances connect to (TCP) and probe (UDP)."},
            {"store-address", "IP:PORT", "127.0.0.1:2379", "The address of the platform's configuration store."},
            {"instance-list-address", "IP:PORT", "127.0.0.1:2380", "The address of the platform's instance list."},
            {"entries-max-age-ms", "N", "5000", "How long callers may cache the list of entries; a shutdown waits for this time."},
            {"leave-spread-ms", "N", "5000", "How long peers may take to learn that this instance is leaving; a shutdown waits for this time too."},
            {"store-timeout-ms", "N", "2000", "The timeout of one call to the store."},
            {"memory-mb", "N", "256", "The memory of the machine in MB. Half of it may be held for callers; beyond that, requests are refused."},
            {"log-format", "FORMAT", "text", "text or json."},
            {"log-level", "LEVEL", "info", "debug, info, warn or error."},
            {"check-settings", "", "", "Checks the settings, prints them and exits."},
            {"help", "", "", "Prints this text."},
            {"version", "", "", "Prints the version."},
        });
    return table;
}

Result<Settings> checkSettings(const OptionValues &values)
{
    SettingsReader reader(values);
    Settings settings;
    settings.id = InstanceId(reader.nonEmptyText("instance-id"));
    settings.place = Place{Region(reader.nonEmptyText("region")), DataCentre(reader.nonEmptyText("data-centre"))};
    settings.callers = reader.address("callers-address");
    settings.peers = reader.address("peers-address");
    settings.store = reader.address("store-address");
    settings.instanceList = reader.address("instance-list-address");
    settings.entriesMaxAge = reader.milliseconds("entries-max-age-ms", 100, 600000);
    settings.leaveSpread = reader.milliseconds("leave-spread-ms", 100, 600000);
    settings.storeTimeout = reader.milliseconds("store-timeout-ms", 10, 60000);
    settings.memoryMb = static_cast<std::size_t>(reader.wholeNumber("memory-mb", "megabytes", 32, 4194304));
    settings.logFormat = reader.oneOf("log-format", {"text", "json"});
    settings.logLevel = reader.oneOf("log-level", {"debug", "info", "warn", "error"});
    if (!reader.faults().empty()) {
        return notRun(Errc::BadRequest, reader.faults());
    }
    return settings;
}

} // namespace Burdock
