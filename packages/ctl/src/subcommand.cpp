#include <burdock/ctl/subcommand.h>

#include <charconv>
#include <limits>
#include <ostream>

namespace Burdock
{

namespace
{

const std::vector<Option> &commonOptions()
{
    static const std::vector<Option> options{
        {"store-address", "IP:PORT", "127.0.0.1:2379", "The platform's configuration store."},
        {"instance-list-address", "IP:PORT", "127.0.0.1:2380", "The platform's instance list."},
        {"timeout-ms", "N", "30000", "The timeout of the whole command."},
        {"json", "", "", "Prints one JSON document instead of text."},
        {"help", "", "", "Prints this text."},
    };
    return options;
}

} // namespace

const std::vector<Subcommand> &subcommands()
{
    static const Option who{"who", "NAME", "", "The name of the publisher. Default: the environment variable USER."};
    static const Option why{"why", "TEXT", "", "The reason, for the audit trail. Required."};
    static const Option base{"base", "N", "", "The version that the files were changed from, or 'current'. Required."};
    static const Option publishId{"publish-id", "ID", "", "Identifies this publish; repeat an id to find out how that publish ended. Default: a random id."};
    static const Option pushMs{"push-ms", "N", "1000", "How long to send the new version to instances directly; with 0 they read it from the store."};
    static const Option limit{"limit", "N", "20", "The maximum number of records, newest last."};
    static const Option maxHits{"limit", "N", "10", "The maximum number of hits."};
    static const Option outputFolder{"into", "FOLDER", "", "Also writes the files to this folder."};
    static const Option instance{"instance", "IP:PORT", "", "The instance to query. Default: the first of the instance list that answers."};
    static const Option caller{"caller", "NAME", "", "The caller to send the request as. Required."};
    static const Option key{"key", "TEXT", "", "The idempotency key of a command."};
    static const Option deadline{"deadline-ms", "N", "", "A deadline shorter than the declared longest wait."};
    static const std::vector<Subcommand> all{
        {"check", "FOLDER...", "Checks declarations and prints every fault.", 1, SIZE_MAX, {}, checkCommand},
        {"collect", "FOLDER...", "Collects the files of several folders and prints their hashes.", 1, SIZE_MAX, {outputFolder}, collectCommand},
        {"publish", "FOLDER...", "Publishes declarations as the next version.", 1, SIZE_MAX, {base, why, who, publishId, pushMs}, publishCommand},
        {"diff", "FOLDER...", "Shows what publishing would change.", 1, SIZE_MAX, {}, diffCommand},
        {"history", "", "Shows the audit trail.", 0, 0, {limit}, historyCommand},
        {"show", "[FILE]", "Shows the accepted configuration, or one file of it.", 0, 1, {}, showCommand},
        {"status", "", "Shows which version every instance has in force and since when.", 0, 0, {}, statusCommand},
        {"entries", "", "Shows the instances that callers should use.", 0, 0, {instance}, entriesCommand},
        {"ask",
         "query INDEX TEXT | command NAME PAYLOAD",
         "Sends a query or a command as a caller.",
         3,
         3,
         {instance, caller, maxHits, key, deadline},
         askCommand},
    };
    return all;
}

OptionTable optionsOf(const Subcommand &subcommand)
{
    std::vector<Option> options = subcommand.options;
    options.insert(options.end(), commonOptions().begin(), commonOptions().end());
    return OptionTable("burdockctl " + subcommand.name,
                       "BURDOCK_",
                       "burdockctl " + subcommand.name + " " + subcommand.arguments + ": " + subcommand.summary,
                       std::move(options));
}

std::string toolHelp()
{
    std::string text = "burdockctl: checks, publishes and inspects declarations.\n\nUsage: burdockctl COMMAND [FLAG...] [ARGUMENT...]\n\n";
    for (const Subcommand &subcommand : subcommands()) {
        text.append("  ").append(subcommand.name).append(" ").append(subcommand.arguments).append("\n      ").append(subcommand.summary).append("\n");
    }
    return text
        + "\n'burdockctl COMMAND --help' lists the flags and environment variables of a command.\n\n"
          "Exit codes: 0 success; 1 faults, differences or instances behind; 2 invalid command line; 3 conflict, another change\n"
          "was published first; 4 nothing was changed; 5 the change may have taken effect.\n";
}

std::optional<std::uint64_t> numberInRange(const std::string &text, std::uint64_t min, std::uint64_t max)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size() || number < min || number > max) {
        return std::nullopt;
    }
    return number;
}

Duration millisecondsOf(const OptionValues &values, const std::string &flag)
{
    constexpr std::uint64_t MaxMilliseconds = 3'600'000;
    return std::chrono::milliseconds(numberInRange(values.text(flag), 1, MaxMilliseconds).value_or(0));
}

ExitCode reportFailure(ToolContext &context, const Failure &failure)
{
    context.err() << errcName(failure.code) << " (" << verdictName(failure.verdict) << "): " << failure.message << '\n';
    if (failure.code == Errc::Conflict) {
        return ExitCode::Conflict;
    }
    return failure.verdict == Verdict::NotRun ? ExitCode::NotRun : ExitCode::MayHaveRun;
}

} // namespace Burdock
