#include <LibGateway/AnswerBudget.h>

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace Dogwoodkeel;

namespace
{

/** Answers of a node, by number, and which of them were cut. */
class Answers
{
public:
    Answers(std::size_t maxBytes, int count) : budget(maxBytes)
    {
        for (int number = 0; number < count; ++number) {
            this->shares.push_back(std::make_unique<AnswerBudget::Share>(this->budget, [this, number] {
                this->cut.push_back(number);
            }));
        }
    }

    void record(int number, std::size_t bytes)
    {
        this->shares[static_cast<std::size_t>(number)]->record(bytes);
    }

    AnswerBudget budget;
    std::vector<std::unique_ptr<AnswerBudget::Share>> shares;
    std::vector<int> cut;
};

} // namespace

// Faulty replicas sent bytes without end to many calls; each was within its own bound, and together they took all memory.
TEST_CASE("the largest answers are cut when all answers together exceed the bound")
{
    Answers answers(100, 3);
    answers.record(0, 10);
    answers.record(1, 60);
    answers.record(2, 30);
    CHECK(answers.cut.empty());
    answers.record(0, 20);
    CHECK(answers.cut == std::vector{1});
    CHECK(answers.budget.total() == 50);
}

TEST_CASE("an answer that exceeds the bound by itself is cut")
{
    Answers answers(100, 2);
    answers.record(0, 10);
    answers.record(1, 101);
    CHECK(answers.cut == std::vector{1});
    CHECK(answers.budget.total() == 10);
}

TEST_CASE("an answer may end while it is cut")
{
    Answers answers(100, 2);
    answers.shares[0] = std::make_unique<AnswerBudget::Share>(answers.budget, [&answers] {
        answers.shares[0].reset();
    });
    answers.record(0, 90);
    answers.record(1, 20);
    CHECK(answers.shares[0] == nullptr);
    CHECK(answers.budget.total() == 20);
}

TEST_CASE("the memory of an answer is given back when it is released or ends")
{
    Answers answers(100, 3);
    answers.record(0, 50);
    answers.record(1, 50);
    answers.shares[0]->release();
    answers.shares[1].reset();
    CHECK(answers.budget.total() == 0);
    answers.record(2, 100);
    CHECK(answers.cut.empty());
}
