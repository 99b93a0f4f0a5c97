#include <burdock/declarations/declarationset.h>

#include <cstdio>
#include <utility>
#include <xxhash.h>

namespace Burdock
{

std::string textHash(std::string_view text)
{
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return digits;
}

std::string setHash(const std::map<std::string, std::string> &hashes)
{
    std::string all;
    for (const auto &[name, hash] : hashes) {
        all.append(name).append(1, '\0').append(hash).append(1, '\0');
    }
    return textHash(all);
}

DeclarationFile::DeclarationFile(std::string text)
    : text_(std::move(text))
    , hash_(textHash(text_))
{
}

DeclarationSet::DeclarationSet(std::map<std::string, DeclarationFile> files)
    : files_(std::move(files))
    , hash_(setHash(hashes()))
{
}

std::map<std::string, std::string> DeclarationSet::hashes() const
{
    std::map<std::string, std::string> hashes;
    for (const auto &[name, file] : files_) {
        hashes.emplace(name, file.hash());
    }
    return hashes;
}

} // namespace Burdock
