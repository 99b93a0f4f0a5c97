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
        {"timeout-ms", "N", "30000", "How long the whole command may take."},
        {"json", "", "", "Prints one JSON document instead of text."},
        {"help", "", "", "Prints this text."},
    };
    return options;
}

} // namespace

const std::vector<Subcommand> &subcommands()
{
    static const Option who{"who", "NAME", "", "Who publishes; without it the variable USER counts."};
    static const Option why{"why", "TEXT", "", "Why, for the audit trail. Needed."};
    static const Option base{"base", "N", "", "The version that the files were changed from, or 'current'. Needed."};
    static const Option publishId{"publish-id", "ID", "", "Names this publish; give the same again to settle an earlier one. Default: a random one."};
    static const Option pushMs{"push-ms", "N", "1000", "How long to hand the new version to instances directly; 0 leaves it to the store."};
    static const Option limit{"limit", "N", "20", "How many at most, newest last."};
    static const Option hits{"limit", "N", "10", "How many hits."};
    static const Option outputFolder{"into", "FOLDER", "", "Also writes the files into this folder."};
    static const Option instance{"instance", "IP:PORT", "", "The instance to ask. Default: the first that answers of the instance list."};
    static const Option caller{"caller", "NAME", "", "The caller to ask as. Needed."};
    static const Option key{"key", "TEXT", "", "The idempotency key of a command."};
    static const Option deadline{"deadline-ms", "N", "", "A deadline below the declared wait."};
    static const std::vector<Subcommand> all{
        {"check", "FOLDER...", "Checks declarations and prints every fault.", 1, SIZE_MAX, {}, checkCommand},
        {"collect", "FOLDER...", "Collects the files of several folders and prints their hashes.", 1, SIZE_MAX, {outputFolder}, collectCommand},
        {"publish", "FOLDER...", "Publishes declarations as the next version.", 1, SIZE_MAX, {base, why, who, publishId, pushMs}, publishCommand},
        {"diff", "FOLDER...", "Shows what publishing would change.", 1, SIZE_MAX, {}, diffCommand},
        {"history", "", "Shows the audit trail.", 0, 0, {limit}, historyCommand},
        {"show", "[FILE]", "Shows the accepted configuration, or one file of it.", 0, 1, {}, showCommand},
        {"status", "", "Shows which version every instance has in force and since when.", 0, 0, {}, statusCommand},
        {"entries", "", "Shows which instances callers are told to use.", 0, 0, {instance}, entriesCommand},
        {"ask", "query INDEX TEXT | command NAME PAYLOAD", "Asks as a caller.", 3, 3, {instance, caller, hits, key, deadline}, askCommand},
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
          "Exit codes: 0 done; 1 faults, differences or instances behind; 2 wrong command line; 3 conflict, another change\n"
          "came first; 4 nothing was changed; 5 nobody can say whether it took effect.\n";
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
