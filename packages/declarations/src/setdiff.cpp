#include <burdock/declarations/setdiff.h>

#include <algorithm>
#include <sstream>
#include <vector>

namespace Burdock
{

namespace
{

using Lines = std::vector<std::string>;

/// Above this number of compared line pairs the whole changed range is shown as replaced.
constexpr std::size_t MaxComparedPairs = 4'000'000;

Lines linesOf(const std::string &text)
{
    Lines lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

void appendLine(std::string &text, char marker, const std::string &line)
{
    text.append(1, marker).append(line).append(1, '\n');
}

/// The lengths of the longest common subsequences of all suffixes of both lists.
std::vector<std::vector<std::uint32_t>> commonSuffixLengths(const Lines &from, const Lines &to)
{
    std::vector<std::vector<std::uint32_t>> lengths(from.size() + 1, std::vector<std::uint32_t>(to.size() + 1));
    for (std::size_t i = from.size(); i-- > 0;) {
        for (std::size_t j = to.size(); j-- > 0;) {
            lengths[i][j] = from[i] == to[j] ? lengths[i + 1][j + 1] + 1 : std::max(lengths[i + 1][j], lengths[i][j + 1]);
        }
    }
    return lengths;
}

void appendChangedLines(std::string &text, const Lines &from, const Lines &to)
{
    std::size_t i = 0;
    std::size_t j = 0;
    if (from.size() * to.size() <= MaxComparedPairs) {
        const auto lengths = commonSuffixLengths(from, to);
        while (i < from.size() && j < to.size()) {
            if (from[i] == to[j]) {
                appendLine(text, ' ', from[i++]);
                ++j;
            } else if (lengths[i + 1][j] >= lengths[i][j + 1]) {
                appendLine(text, '-', from[i++]);
            } else {
                appendLine(text, '+', to[j++]);
            }
        }
    }
    std::for_each(from.begin() + static_cast<std::ptrdiff_t>(i), from.end(), [&](const std::string &line) { appendLine(text, '-', line); });
    std::for_each(to.begin() + static_cast<std::ptrdiff_t>(j), to.end(), [&](const std::string &line) { appendLine(text, '+', line); });
}

/// Appends the lines between the common prefix and the common suffix, with one line of context on each side.
void appendLines(std::string &text, const Lines &from, const Lines &to)
{
    const std::size_t shorter = std::min(from.size(), to.size());
    std::size_t head = 0;
    while (head < shorter && from[head] == to[head]) {
        ++head;
    }
    std::size_t tail = 0;
    while (tail < shorter - head && from[from.size() - 1 - tail] == to[to.size() - 1 - tail]) {
        ++tail;
    }
    text += "@@ line " + std::to_string(head + 1) + " @@\n";
    if (head > 0) {
        appendLine(text, ' ', from[head - 1]);
    }
    const auto changedRange = [&](const Lines &lines) {
        return Lines(lines.begin() + static_cast<std::ptrdiff_t>(head), lines.end() - static_cast<std::ptrdiff_t>(tail));
    };
    appendChangedLines(text, changedRange(from), changedRange(to));
    if (tail > 0) {
        appendLine(text, ' ', from[from.size() - tail]);
    }
}

} // namespace

std::string diffText(const DeclarationSet &from, const DeclarationSet &to)
{
    std::map<std::string, std::pair<const DeclarationFile *, const DeclarationFile *>> sides;
    for (const auto &[name, file] : from.files()) {
        sides[name].first = &file;
    }
    for (const auto &[name, file] : to.files()) {
        sides[name].second = &file;
    }
    std::string text;
    for (const auto &[name, files] : sides) {
        const auto &[before, after] = files;
        if (before != nullptr && after != nullptr && before->hash() == after->hash()) {
            continue;
        }
        text += "--- " + (before != nullptr ? name : std::string("/dev/null")) + "\n";
        text += "+++ " + (after != nullptr ? name : std::string("/dev/null")) + "\n";
        appendLines(text, before != nullptr ? linesOf(before->text()) : Lines(), after != nullptr ? linesOf(after->text()) : Lines());
        if (text.size() > MaxDiffBytes) {
            text.resize(MaxDiffBytes);
            return text + "\n(cut off: the diff is longer than " + std::to_string(MaxDiffBytes) + " bytes)\n";
        }
    }
    return text;
}

} // namespace Burdock
