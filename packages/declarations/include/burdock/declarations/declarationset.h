#pragma once

#include <burdock/values/comparison.h>

#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace Burdock
{

/// The XXH3 of a text, as 16 hexadecimal digits.
std::string textHash(std::string_view text);

/// The text of one declaration file and its hash.
class DeclarationFile
{
public:
    explicit DeclarationFile(std::string text);

    const std::string &text() const
    {
        return text_;
    }

    /// The file's textHash.
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

/// Declaration files by their names relative to the folder that was collected, such as `teams/dealer-portal.toml`.
class DeclarationSet
{
public:
    DeclarationSet() = default;
    explicit DeclarationSet(std::map<std::string, DeclarationFile> files);

    const std::map<std::string, DeclarationFile> &files() const
    {
        return files_;
    }

    /// The XXH3 of all names and hashes, in hexadecimal; the same wherever the same files are collected.
    const std::string &hash() const
    {
        return hash_;
    }

    /// The hash of each file by name.
    std::map<std::string, std::string> hashes() const;

    auto fields() const
    {
        return std::tie(files_);
    }

private:
    std::map<std::string, DeclarationFile> files_;
    std::string hash_;
};

/// The hash of a set from the hashes of its files by name.
std::string setHash(const std::map<std::string, std::string> &hashes);

} // namespace Burdock
