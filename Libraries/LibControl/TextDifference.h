#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** Lines that stand in place of others. */
struct TextChange
{
    /** The first line that is replaced, from 0; with no line replaced, the line before which the new ones stand. */
    std::size_t from = 0;
    /** How many lines are replaced. */
    std::size_t count = 0;
    std::vector<std::string> lines;

    bool operator==(const TextChange &) const = default;
};

/** @return a text's lines, without their ends. */
std::vector<std::string> linesOf(std::string_view text);

/** @return what turns one text into another, in order, by the longest common subsequence of their lines. */
std::vector<TextChange> changesBetween(std::string_view before, std::string_view after);

/** @return the changes for a person: removed lines with "-", added ones with "+", each group with its line. */
std::string describeChanges(const std::string &name, std::string_view before, std::string_view after);

/** What came of a merge. */
struct TextMerge
{
    std::string text;
    /** Lines, from 1, of the common text that both changed in different ways; empty: merged. */
    std::vector<std::size_t> conflicts;
};

/**
 * Bring two changes of one text together.
 * @param common what both started from
 * @param theirs kept where only they changed something
 * @param ours kept where only we did
 */
TextMerge mergeTexts(std::string_view common, std::string_view theirs, std::string_view ours);

} // namespace Dogwoodkeel
