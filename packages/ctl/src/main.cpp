/// burdockctl: the command-line tool of teams and operators.

#include <burdock/ctl/subcommand.h>
#include <burdock/store/factories.h>
#include <burdock/wire/factories.h>

#include <algorithm>
#include <iostream>
#include <unistd.h>

using namespace Burdock;

namespace
{

constexpr const char *Version = "burdockctl 0.1.0";
constexpr Duration StoreTimeout = std::chrono::seconds(3);
const ConnectionLimits Limits{4, 2, std::size_t{8} * 1024 * 1024};

/// The context of the executable, which uses HTTP and peer links.
class HttpContext final : public ToolContext
{
public:
    HttpContext(const Address &store, const Address &instanceList)
        : client_(makeHttpClient(loop_, Limits))
        , store_(makeEtcdStore(loop_, *client_, store, StoreTimeout))
        , instanceList_(makeHttpInstanceList(loop_, *client_, instanceList))
        , links_(makePeerLinks(loop_, InstanceId("burdockctl-" + std::to_string(getpid())), incarnation()))
    {
    }

    Runtime &runtime() override
    {
        return loop_;
    }
    Store &store() override
    {
        return *store_;
    }
    InstanceListSource &instanceList() override
    {
        return *instanceList_;
    }
    HttpClient &http() override
    {
        return *client_;
    }
    bool waitFor(const std::function<bool()> &condition, Duration limit) override
    {
        return loop_.runUntil(condition, limit);
    }
    std::ostream &out() override
    {
        return std::cout;
    }
    std::ostream &err() override
    {
        return std::cerr;
    }
    void progress(const std::string &step) override
    {
        if (isatty(STDERR_FILENO) != 0) {
            std::cerr << step << " ...\n";
        }
    }

    PeerLinks &links() override
    {
        return *links_;
    }

private:
    std::uint64_t incarnation() const
    {
        return static_cast<std::uint64_t>(loop_.wallNow().time_since_epoch().count());
    }

    EventLoop loop_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<InstanceListSource> instanceList_;
    std::unique_ptr<PeerLinks> links_;
};

int usage(const std::string &message)
{
    std::cerr << message << '\n';
    return static_cast<int>(ExitCode::Usage);
}

int run(const Subcommand &subcommand, int argc, char *argv[])
{
    const OptionTable table = optionsOf(subcommand);
    const auto values = table.read(argc, argv);
    if (!values) {
        return usage(values.error().message);
    }
    if (values->on("help")) {
        std::cout << table.help();
        return 0;
    }
    if (values->arguments.size() < subcommand.minArguments || values->arguments.size() > subcommand.maxArguments) {
        return usage("'burdockctl " + subcommand.name + "' takes " + (subcommand.arguments.empty() ? "no arguments" : subcommand.arguments));
    }
    const auto store = Address::parse(values->text("store-address"));
    const auto instanceList = Address::parse(values->text("instance-list-address"));
    if (!store || !instanceList || millisecondsOf(*values, "timeout-ms") == Duration{0}) {
        return usage("--store-address and --instance-list-address must be an IP address and a port, --timeout-ms a number from 1 to 3600000");
    }
    HttpContext context(*store, *instanceList);
    return static_cast<int>(subcommand.run(context, *values));
}

} // namespace

int main(int argc, char *argv[])
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "--version") {
        std::cout << (name == "--help" ? toolHelp() : std::string(Version) + "\n");
        return 0;
    }
    const auto &all = subcommands();
    const auto found = std::find_if(all.begin(), all.end(), [&name](const Subcommand &subcommand) { return subcommand.name == name; });
    if (found == all.end()) {
        return usage(toolHelp());
    }
    return run(*found, argc - 1, argv + 1);
}
