#include <LibControl/TextDifference.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace Dogwoodkeel
{

namespace
{

using Lines = std::vector<std::string>;

/** Max number of table cells; for larger texts all lines between common prefix and suffix count as changed. */
constexpr std::size_t maxCells = 16UL * 1024 * 1024;

std::size_t commonPrefix(const Lines &before, const Lines &after)
{
    std::size_t length = 0;
    while (length < before.size() && length < after.size() && before[length] == after[length]) {
        ++length;
    }
    return length;
}

std::size_t commonSuffix(const Lines &before, const Lines &after, std::size_t prefix)
{
    const std::size_t maxLength = std::min(before.size(), after.size()) - prefix;
    std::size_t length = 0;
    while (length < maxLength && before[before.size() - 1 - length] == after[after.size() - 1 - length]) {
        ++length;
    }
    return length;
}

/** Lengths of the longest common subsequences of all suffixes of two ranges of lines. */
class CommonLengths
{
public:
    CommonLengths(const Lines &before, const Lines &after, std::size_t prefix, std::size_t suffix)
        : rows(before.size() - prefix - suffix)
        , columns(after.size() - prefix - suffix)
        , cells((this->rows + 1) * (this->columns + 1), 0)
    {
        for (std::size_t row = this->rows; row-- > 0;) {
            for (std::size_t column = this->columns; column-- > 0;) {
                const bool isSame = before[prefix + row] == after[prefix + column];
                this->at(row, column)
                    = isSame ? this->at(row + 1, column + 1) + 1 : std::max(this->at(row + 1, column), this->at(row, column + 1));
            }
        }
    }

    std::uint32_t &at(std::size_t row, std::size_t column)
    {
        return this->cells[row * (this->columns + 1) + column];
    }

    const std::size_t rows;
    const std::size_t columns;

private:
    std::vector<std::uint32_t> cells;
};

/** Adds one removed or added line to the last change, or starts a new change. */
void extend(std::vector<TextChange> &changes, std::size_t position, const std::string *added)
{
    if (changes.empty() || changes.back().from + changes.back().count != position) {
        changes.push_back({position, 0, {}});
    }
    if (added != nullptr) {
        changes.back().lines.push_back(*added);
    } else {
        ++changes.back().count;
    }
}

std::vector<TextChange> compare(const Lines &before, const Lines &after)
{
    const std::size_t prefix = commonPrefix(before, after);
    const std::size_t suffix = commonSuffix(before, after, prefix);
    const std::size_t rows = before.size() - prefix - suffix;
    const std::size_t columns = after.size() - prefix - suffix;
    if (rows + columns == 0) {
        return {};
    }
    if ((rows + 1) * (columns + 1) > maxCells) {
        const auto begin = after.begin() + static_cast<std::ptrdiff_t>(prefix);
        return {{prefix, rows, Lines(begin, begin + static_cast<std::ptrdiff_t>(columns))}};
    }
    CommonLengths lengths(before, after, prefix, suffix);
    std::vector<TextChange> changes;
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < rows || column < columns) {
        if (row < rows && column < columns && before[prefix + row] == after[prefix + column]) {
            ++row;
            ++column;
            continue;
        }
        const bool isRemoval = column == columns || (row < rows && lengths.at(row + 1, column) >= lengths.at(row, column + 1));
        extend(changes, prefix + row, isRemoval ? nullptr : &after[prefix + column]);
        isRemoval ? ++row : ++column;
    }
    return changes;
}

std::string joined(const Lines &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text += line + '\n';
    }
    return text;
}

bool touches(const TextChange &left, const TextChange &right)
{
    // Adjacent changes conflict, because the order of two insertions is the operator's decision.
    return left.from <= right.from + right.count && right.from <= left.from + left.count;
}

void replace(Lines &lines, const TextChange &change)
{
    const auto begin = lines.begin() + static_cast<std::ptrdiff_t>(change.from);
    const auto insertPosition = lines.erase(begin, begin + static_cast<std::ptrdiff_t>(change.count));
    lines.insert(insertPosition, change.lines.begin(), change.lines.end());
}

} // namespace

std::vector<std::string> linesOf(std::string_view text)
{
    Lines lines;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        lines.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

std::vector<TextChange> changesBetween(std::string_view before, std::string_view after)
{
    return compare(linesOf(before), linesOf(after));
}

std::string describeChanges(const std::string &name, std::string_view before, std::string_view after)
{
    const Lines old = linesOf(before);
    std::string text;
    for (const TextChange &change : compare(old, linesOf(after))) {
        text += name + ':' + std::to_string(change.from + 1) + '\n';
        for (std::size_t i = 0; i < change.count; ++i) {
            text += "- " + old[change.from + i] + '\n';
        }
        for (const std::string &line : change.lines) {
            text += "+ " + line + '\n';
        }
    }
    return text;
}

TextMerge mergeTexts(std::string_view common, std::string_view theirs, std::string_view ours)
{
    Lines lines = linesOf(common);
    std::vector<TextChange> changes = compare(lines, linesOf(theirs));
    TextMerge merge;
    for (const TextChange &change : compare(lines, linesOf(ours))) {
        const auto other = std::ranges::find_if(changes, [&change](const TextChange &candidate) {
            return touches(candidate, change);
        });
        if (other == changes.end()) {
            changes.push_back(change);
        } else if (*other != change) {
            merge.conflicts.push_back(change.from + 1);
        }
    }
    if (!merge.conflicts.empty()) {
        return merge;
    }
    std::ranges::sort(changes, std::ranges::greater(), &TextChange::from);
    for (const TextChange &change : changes) {
        replace(lines, change);
    }
    merge.text = joined(lines);
    return merge;
}

} // namespace Dogwoodkeel
