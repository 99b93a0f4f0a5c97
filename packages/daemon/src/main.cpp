/// burdockd: one instance of the query tier.

#include <burdock/daemon/instance.h>
#include <burdock/daemon/log.h>
#include <burdock/daemon/settings.h>
#include <burdock/wire/crashlog.h>
#include <burdock/wire/json.h>

#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <unistd.h>

using namespace Burdock;

namespace
{

constexpr const char *Version = "burdockd 0.1.0";
constexpr int ExitUsage = 2;
constexpr int ExitListenFailed = 1;

void printSettings(const OptionValues &values)
{
    for (const auto &[flag, value] : values.values) {
        if (!value.empty()) {
            std::cout << flag << " = " << value << '\n';
        }
    }
}

/// Prints the bound addresses for scripts that pass port 0.
void printListening(const ListedInstance &self)
{
    const nlohmann::json line{{"instance", self.id.text()}, {"callers", self.callers.toString()}, {"peers", self.peers.toString()}};
    std::cout << "listening " << writeJson(line) << std::endl;
}

int serve(const Settings &settings)
{
    initializeLogging(settings.logFormat, settings.logLevel);
    CrashLog::install(STDERR_FILENO, settings.id.text());
    EventLoop loop;
    loop.boundary().setHandler([](std::string_view place, std::string_view reason) {
        logWarning("callback", "failed", {{"place", std::string(place)}, {"reason", std::string(reason)}});
    });
    const auto incarnation = static_cast<std::uint64_t>(loop.wallNow().time_since_epoch().count());
    Instance instance(loop, settings, incarnation);
    const Result<void> started = instance.start();
    if (!started) {
        std::cerr << started.error().message << '\n';
        return ExitListenFailed;
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int signal : {SIGINT, SIGTERM}) {
        loop.addSignalHandler(signal, [&] { instance.shutDown([&loop] { loop.stop(); }); });
    }
    printListening(instance.self());
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char *argv[])
{
    const Result<OptionValues> values = settingsTable().read(argc, argv);
    if (!values) {
        std::cerr << values.error().message << '\n';
        return ExitUsage;
    }
    if (values->on("help") || values->on("version")) {
        std::cout << (values->on("help") ? settingsTable().help() : std::string(Version) + "\n");
        return 0;
    }
    const Result<Settings> settings = checkSettings(*values);
    if (!settings) {
        std::cerr << settings.error().message << '\n';
        return ExitUsage;
    }
    if (values->on("check-settings")) {
        printSettings(*values);
        return 0;
    }
    return serve(*settings);
}
