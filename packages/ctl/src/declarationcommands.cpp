#include <burdock/ctl/subcommand.h>

#include <burdock/declarations/checkdeclarations.h>
#include <burdock/declarations/collector.h>
#include <burdock/wire/json.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <ostream>

namespace Burdock
{

namespace
{

using Json = nlohmann::json;

Json locationJson(const SourceLocation &location)
{
    return {{"file", location.file}, {"line", location.line}, {"column", location.column}};
}

void printFaults(ToolContext &context, const DeclarationFaults &faults, bool json)
{
    Json list = Json::array();
    for (const DeclarationFault &fault : faults) {
        if (!json) {
            context.out() << fault.toString() << '\n';
            continue;
        }
        Json entry = locationJson(fault.location);
        entry["message"] = fault.message;
        if (fault.otherLocation) {
            entry["other"] = locationJson(*fault.otherLocation);
        }
        list.push_back(std::move(entry));
    }
    if (json) {
        context.out() << writeJson(Json{{"faults", list}}) << '\n';
    } else {
        context.out() << faults.size() << (faults.size() == 1 ? " fault\n" : " faults\n");
    }
}

bool writeFiles(const DeclarationSet &set, const std::filesystem::path &folder)
{
    for (const auto &[name, file] : set.files()) {
        std::error_code error;
        std::filesystem::create_directories((folder / name).parent_path(), error);
        std::ofstream stream(folder / name, std::ios::binary);
        stream << file.text();
        if (!stream.flush()) {
            return false;
        }
    }
    return true;
}

} // namespace

ExitCode checkCommand(ToolContext &context, const OptionValues &values)
{
    const auto set = collectDeclarations(values.arguments);
    if (!set) {
        return reportFailure(context, set.error());
    }
    const auto checked = checkDeclarations(*set, 1);
    if (!checked) {
        printFaults(context, checked.error(), values.on("json"));
        return ExitCode::ProblemsFound;
    }
    if (values.on("json")) {
        context.out() << writeJson(Json{{"faults", Json::array()}, {"hash", set->hash()}}) << '\n';
    } else {
        context.out() << set->files().size() << " files: " << checked->fleets.size() << " fleets, " << checked->indexes.size() << " indexes, "
                      << checked->commands.size() << " commands; no faults\n";
    }
    return ExitCode::Ok;
}

ExitCode collectCommand(ToolContext &context, const OptionValues &values)
{
    const auto set = collectDeclarations(values.arguments);
    if (!set) {
        return reportFailure(context, set.error());
    }
    if (!values.text("into").empty() && !writeFiles(*set, values.text("into"))) {
        return reportFailure(context, {Errc::Unavailable, Verdict::MayHaveRun, "cannot write into " + values.text("into"), Duration{0}});
    }
    if (values.on("json")) {
        context.out() << writeJson(Json{{"hash", set->hash()}, {"files", set->hashes()}}) << '\n';
        return ExitCode::Ok;
    }
    for (const auto &[name, file] : set->files()) {
        context.out() << file.hash() << "  " << name << "  " << file.text().size() << " bytes\n";
    }
    context.out() << set->hash() << "  all " << set->files().size() << " files\n";
    return ExitCode::Ok;
}

} // namespace Burdock
