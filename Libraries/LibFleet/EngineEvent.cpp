#include <LibFleet/EngineEvent.h>

#include <nlohmann/json.hpp>

#include <cstdint>

namespace Dogwoodkeel
{

namespace
{

/** Handles the parser events for {"choices":[{...}]} and stores text and finish reason of the first choice. */
class ChoiceReader final : public nlohmann::json_sax<nlohmann::json>
{
public:
    EngineEvent event;
    bool hasChoice = false;

    bool null() override
    {
        return true;
    }

    bool boolean(bool) override
    {
        return true;
    }

    bool number_integer(number_integer_t) override
    {
        return true;
    }

    bool number_unsigned(number_unsigned_t) override
    {
        return true;
    }

    bool number_float(number_float_t, const string_t &) override
    {
        return true;
    }

    bool binary(binary_t &) override
    {
        return true;
    }

    bool string(string_t &value) override
    {
        const bool isPlainText = this->isInChoice(choiceDepth) && this->lastKey == "text";
        const bool isPartText = this->isInChoice(partDepth) && this->isPart && this->lastKey == "content";
        if (isPlainText || isPartText) {
            this->event.text = std::move(value);
        } else if (this->isInChoice(choiceDepth) && this->lastKey == "finish_reason") {
            this->event.finishReason = std::move(value);
        }
        return true;
    }

    bool key(string_t &value) override
    {
        this->lastKey = std::move(value);
        if (this->depth == rootDepth) {
            this->isChoices = this->lastKey == "choices";
        }
        return true;
    }

    bool start_object(std::size_t) override
    {
        ++this->depth;
        if (this->depth == choiceDepth && this->isChoices) {
            ++this->choice;
            this->hasChoice = true;
        }
        if (this->depth == partDepth) {
            this->isPart = this->lastKey == "delta" || this->lastKey == "message";
        }
        return true;
    }

    bool end_object() override
    {
        --this->depth;
        return true;
    }

    bool start_array(std::size_t) override
    {
        ++this->depth;
        return true;
    }

    bool end_array() override
    {
        --this->depth;
        return true;
    }

    bool parse_error(std::size_t, const std::string &, const nlohmann::detail::exception &) override
    {
        return false;
    }

private:
    static constexpr std::uint32_t rootDepth = 1;
    /** Depth within the root object, the array of choices and the choice object. */
    static constexpr std::uint32_t choiceDepth = 3;
    static constexpr std::uint32_t partDepth = 4;

    bool isInChoice(std::uint32_t expectedDepth) const
    {
        return this->isChoices && this->choice == 1 && this->depth == expectedDepth;
    }

    std::uint32_t depth = 0;
    std::uint32_t choice = 0;
    bool isChoices = false;
    bool isPart = false;
    std::string lastKey;
};

} // namespace

std::optional<EngineEvent> EngineEvent::parse(std::string_view data)
{
    ChoiceReader reader;
    const bool isValidJson = nlohmann::json::sax_parse(data, &reader);
    return isValidJson && reader.hasChoice ? std::optional(std::move(reader.event)) : std::nullopt;
}

} // namespace Dogwoodkeel
