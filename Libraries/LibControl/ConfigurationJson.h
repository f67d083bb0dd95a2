#pragma once

#include <LibControl/ConfigurationWriter.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

/** The JSON forms of configuration versions, as docs/operators/configuration.md tells them. */
namespace Dogwoodkeel::ConfigurationJson
{

/** @return number, author, reason and time of a version. */
nlohmann::json describe(const ConfigurationRow &row);

/** @return a version with its texts. */
nlohmann::json format(const ConfigurationRow &row, const ConfigurationContent &content);

/** @return the content in an answer or a proposal, or nothing if it has another form. */
std::optional<ConfigurationContent> parseContent(const nlohmann::json &json);

/** @return the body that proposes a version. */
nlohmann::json format(const ConfigurationProposal &proposal);

/** @return the proposal in a body, without its author, or nothing if it has another form. */
std::optional<ConfigurationProposal> parseProposal(std::string_view body);

/** @return a list of places and messages. */
nlohmann::json format(const Findings &findings);

} // namespace Dogwoodkeel::ConfigurationJson
