#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace Dogwoodkeel
{

/**
 * Bounds the memory of all answers that a node holds until they are complete. Each has a bound of its own, but faulty replicas
 * may send as much as that to all calls at once. When the bound is exceeded, the largest answer is cut.
 */
class AnswerBudget
{
public:
    /** The memory of one answer; it is given back at the end of this object at the latest. */
    class Share
    {
    public:
        /**
         * @param budget outlives this object
         * @param cut called when the answer has to be cut; it has to release this memory, and may destroy this object
         */
        Share(AnswerBudget &budget, std::function<void()> cut);
        ~Share();
        Share(const Share &) = delete;
        Share &operator=(const Share &) = delete;

        /** Records how much memory the answer takes. This or another answer may be cut from inside this call. */
        void record(std::size_t bytes);

        /** Records that the answer takes no memory any more. */
        void release();

    private:
        friend class AnswerBudget;

        AnswerBudget &budget;
        std::function<void()> cut;
        std::size_t bytes = 0;
    };

    explicit AnswerBudget(std::size_t maxBytes);

    /** @return the memory of all answers in bytes. */
    std::size_t total() const;

private:
    void change(Share &share, std::size_t bytes);
    void cutLargest();

    std::size_t maxBytes;
    std::size_t totalBytes = 0;
    /** The shares that take memory, by size. */
    std::multimap<std::size_t, Share *> shares;
};

} // namespace Dogwoodkeel
