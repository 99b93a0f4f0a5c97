#include <burdock/values/optiontable.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <getopt.h>
#include <utility>

namespace Burdock
{

namespace
{

/// getopt_long returns the index of an option as this plus its index in the table.
constexpr int FirstOption = 256;
constexpr const char *SwitchOn = "1";

} // namespace

const std::string &OptionValues::text(const std::string &flag) const
{
    static const std::string none;
    const auto found = values.find(flag);
    return found == values.end() ? none : found->second;
}

bool OptionValues::on(const std::string &flag) const
{
    return !text(flag).empty() && text(flag) != "0";
}

OptionTable::OptionTable(std::string program, std::string prefix, std::string summary, std::vector<Option> options)
    : program_(std::move(program))
    , prefix_(std::move(prefix))
    , summary_(std::move(summary))
    , options_(std::move(options))
{
}

std::string OptionTable::variable(const std::string &flag) const
{
    std::string name = prefix_;
    for (const char letter : flag) {
        name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    }
    return name;
}

Result<OptionValues> OptionTable::read(int argc, char *const argv[], bool stopAtArgument) const
{
    OptionValues read;
    std::vector<option> table;
    for (std::size_t index = 0; index < options_.size(); ++index) {
        const Option &entry = options_[index];
        const char *variableValue = std::getenv(variable(entry.flag).c_str());
        read.values[entry.flag] = variableValue != nullptr ? variableValue : entry.fallback;
        table.push_back({entry.flag.c_str(), entry.valueName.empty() ? no_argument : required_argument, nullptr, FirstOption + static_cast<int>(index)});
    }
    table.push_back({nullptr, 0, nullptr, 0});
    std::string faults;
    optind = 0;
    opterr = 0;
    int code = 0;
    while ((code = getopt_long(argc, argv, stopAtArgument ? "+:" : ":", table.data(), nullptr)) != -1) {
        if (code >= FirstOption) {
            read.values[options_[static_cast<std::size_t>(code - FirstOption)].flag] = optarg != nullptr ? optarg : SwitchOn;
            continue;
        }
        const std::string word = argv[optind - 1];
        faults += (faults.empty() ? "" : "\n") + (code == ':' ? "'" + word + "' needs a value" : "unknown flag '" + word + "'");
    }
    if (!faults.empty()) {
        return notRun(Errc::BadRequest, faults + "\n'" + program_ + " --help' lists the flags");
    }
    read.arguments.assign(argv + optind, argv + argc);
    return read;
}

std::string OptionTable::help() const
{
    std::string text = summary_ + "\n\nEvery flag can also be given by the environment variable beside it.\n\n";
    for (const Option &entry : options_) {
        text += "  --" + entry.flag + (entry.valueName.empty() ? "" : " " + entry.valueName) + "  (" + variable(entry.flag) + ")\n      " + entry.help;
        text += (entry.fallback.empty() ? "" : " Default: " + entry.fallback + ".") + std::string("\n");
    }
    return text;
}

} // namespace Burdock
