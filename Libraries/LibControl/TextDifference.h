#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** A range of lines and its replacement. */
struct TextChange
{
    /** Index of the first replaced line, from 0; if none is replaced, the line before which the new ones are inserted. */
    std::size_t from = 0;
    /** Number of replaced lines. */
    std::size_t count = 0;
    std::vector<std::string> lines;

    bool operator==(const TextChange &) const = default;
};

/** @return the lines of a text, without line terminators. */
std::vector<std::string> linesOf(std::string_view text);

/** @return the changes that turn one text into another, in order, by the longest common subsequence of their lines. */
std::vector<TextChange> changesBetween(std::string_view before, std::string_view after);

/** @return the changes in readable form: removed lines with "-", added ones with "+", each group with its line number. */
std::string describeChanges(const std::string &name, std::string_view before, std::string_view after);

/** The result of a merge; the text is empty if there are conflicts. */
struct TextMerge
{
    std::string text;
    /** Line numbers, from 1, in the common text that both changed differently; empty if the merge succeeded. */
    std::vector<std::size_t> conflicts;
};

/**
 * Performs a three-way merge by lines.
 * @param common the common ancestor of both texts
 * @param theirs one changed text; its changes are kept where the other has none
 * @param ours the other changed text; its changes are kept where the first has none
 */
TextMerge mergeTexts(std::string_view common, std::string_view theirs, std::string_view ours);

} // namespace Dogwoodkeel
