#pragma once

#include <LibControl/ConfigurationWriter.h>

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

/** JSON representations of configuration versions, as documented in docs/operators/configuration.md. */
namespace Dogwoodkeel::ConfigurationJson
{

/** @return the number, author, reason and creation time of a version. */
nlohmann::json describe(const ConfigurationRow &row);

/** @return a version with its texts. */
nlohmann::json format(const ConfigurationRow &row, const ConfigurationContent &content);

/** @return the content of a response or a proposal, or nothing if it is malformed. */
std::optional<ConfigurationContent> parseContent(const nlohmann::json &json);

/** @return the request body that proposes a version. */
nlohmann::json format(const ConfigurationProposal &proposal);

/** @return the proposal in a request body, without its author, or nothing if it is malformed. */
std::optional<ConfigurationProposal> parseProposal(std::string_view body);

/** @return the findings as a list of locations and messages. */
nlohmann::json format(const Findings &findings);

} // namespace Dogwoodkeel::ConfigurationJson
