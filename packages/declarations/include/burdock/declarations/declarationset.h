#pragma once

#include <burdock/values/comparison.h>

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// The XXH3 hash of a text, as 16 hexadecimal digits.
std::string textHash(std::string_view text);

/// The text of a declaration file and its hash.
class DeclarationFile
{
public:
    explicit DeclarationFile(std::string text);

    const std::string &text() const
    {
        return text_;
    }

    /// The textHash of the text.
    const std::string &hash() const
    {
        return hash_;
    }

    auto fields() const
    {
        return std::tie(hash_, text_);
    }

private:
    std::string text_;
    std::string hash_;
};

/// Declaration files by name, the path relative to the collected folder, such as `teams/dealer-portal.toml`.
class DeclarationSet
{
public:
    DeclarationSet() = default;
    explicit DeclarationSet(std::map<std::string, DeclarationFile> files);

    const std::map<std::string, DeclarationFile> &files() const
    {
        return files_;
    }

    /// The XXH3 hash of all file names and hashes, in hexadecimal. It does not depend on where the files were collected.
    const std::string &hash() const
    {
        return hash_;
    }

    /// The hash of each file, by file name.
    std::map<std::string, std::string> hashes() const;

    auto fields() const
    {
        return std::tie(files_);
    }

private:
    std::map<std::string, DeclarationFile> files_;
    std::string hash_;
};

/// The hash of a set, from the hashes of its files by file name.
std::string setHash(const std::map<std::string, std::string> &hashes);

} // namespace Burdock
