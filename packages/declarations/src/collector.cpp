#include <burdock/declarations/collector.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

namespace Burdock
{

namespace
{

namespace fs = std::filesystem;

bool isHidden(const fs::path &path)
{
    return path.filename().string().rfind('.', 0) == 0;
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == '/';
}

Result<std::string> readFile(const fs::path &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    if (!stream) {
        return notRun(Errc::BadRequest, "cannot read " + path.string());
    }
    return text;
}

Result<void> collectFile(const fs::path &root, const fs::path &path, std::map<std::string, DeclarationFile> &files)
{
    const std::string name = path.lexically_relative(root).generic_string();
    std::error_code error;
    const auto bytes = fs::file_size(path, error);
    const std::string fault = error ? "cannot be read: " + error.message() : declarationFileFault(name, bytes);
    if (!fault.empty()) {
        return notRun(Errc::BadRequest, name + " " + fault);
    }
    auto text = readFile(path);
    if (!text) {
        return tl::make_unexpected(text.error());
    }
    files.emplace(name, DeclarationFile(std::move(*text)));
    return {};
}

} // namespace

std::string declarationFileFault(const std::string &name, std::size_t bytes)
{
    if (bytes > MaxDeclarationFileBytes) {
        return "has " + std::to_string(bytes) + " bytes, at most " + std::to_string(MaxDeclarationFileBytes) + " can be published; split it into several files";
    }
    if (name.empty() || name.size() > MaxDeclarationNameBytes || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return "has a name that cannot be published; use letters, digits, '.', '_', '-' and '/', at most " + std::to_string(MaxDeclarationNameBytes)
            + " of them";
    }
    return {};
}

Result<DeclarationSet> collectDeclarations(const std::string &folder)
{
    const fs::path root(folder);
    std::error_code error;
    fs::recursive_directory_iterator entry(root, error);
    if (error) {
        return notRun(Errc::BadRequest, "cannot read the folder " + folder + ": " + error.message());
    }
    std::map<std::string, DeclarationFile> files;
    for (const fs::recursive_directory_iterator end; entry != end; entry.increment(error)) {
        if (isHidden(entry->path())) {
            entry.disable_recursion_pending();
            continue;
        }
        if (entry->path().extension() != ".toml" || !entry->is_regular_file(error)) {
            continue;
        }
        if (auto collected = collectFile(root, entry->path(), files); !collected) {
            return tl::make_unexpected(collected.error());
        }
    }
    if (error) {
        return notRun(Errc::BadRequest, "cannot read the folder " + folder + ": " + error.message());
    }
    return DeclarationSet(std::move(files));
}

Result<DeclarationSet> collectDeclarations(const std::vector<std::string> &folders)
{
    std::map<std::string, DeclarationFile> files;
    std::map<std::string, std::string> folderOf;
    for (const std::string &folder : folders) {
        const auto set = collectDeclarations(folder);
        if (!set) {
            return tl::make_unexpected(set.error());
        }
        for (const auto &[name, file] : set->files()) {
            const auto [known, isNew] = folderOf.emplace(name, folder);
            if (!isNew) {
                std::string message = name;
                message.append(" stands both in ").append(known->second).append(" and in ").append(folder);
                return notRun(Errc::BadRequest, std::move(message));
            }
            files.emplace(name, file);
        }
    }
    return DeclarationSet(std::move(files));
}

} // namespace Burdock
