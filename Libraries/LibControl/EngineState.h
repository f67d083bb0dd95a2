#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** What an engine has loaded, and its role; empty names mean that nothing is loaded. */
struct EngineState
{
    std::string model;
    std::string version;
    /** Sorted by name. */
    std::vector<std::string> adapters;
    /** "serve", or a role that accepts no requests from callers. */
    std::string role;

    bool operator==(const EngineState &) const = default;
};

/** The state that an engine reports about itself. */
struct EngineStateReport
{
    EngineState state;
    /** The state that is being loaded, if any. */
    std::optional<EngineState> loading;
    /** The highest fencing number that the engine has seen. */
    std::uint64_t fence = 0;
    /** Requests since the engine loaded its version, and those of them that failed because of the engine. */
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
};

/**
 * An order to an engine: the complete state that it shall have. Orders are idempotent, so a repeated or delayed order has
 * the same effect as a single one.
 */
struct EngineOrder
{
    EngineState state;
    std::uint64_t fence = 0;
};

/** The JSON protocol for orders to engines: GET /orders and POST /orders. */
namespace EngineProtocol
{
inline constexpr const char *ordersPath = "/orders";

std::string format(const EngineOrder &order);
std::optional<EngineOrder> parseOrder(std::string_view body);
std::string format(const EngineStateReport &report);
std::optional<EngineStateReport> parseReport(std::string_view body);
} // namespace EngineProtocol

} // namespace Dogwoodkeel
