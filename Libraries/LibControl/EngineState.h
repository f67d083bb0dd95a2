#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Dogwoodkeel
{

/** What an engine has loaded and does; empty names: nothing. */
struct EngineState
{
    std::string model;
    std::string version;
    /** In order of their names. */
    std::vector<std::string> adapters;
    /** "serve", or a role that takes no requests of callers. */
    std::string role;

    bool operator==(const EngineState &) const = default;
};

/** What an engine says of itself. */
struct EngineStateReport
{
    EngineState state;
    /** What it is loading; nothing: it is not. */
    std::optional<EngineState> loading;
    /** The highest fencing number it has seen. */
    std::uint64_t fence = 0;
    /** Requests since it has its version, and those of them that failed through its fault. */
    std::uint64_t requests = 0;
    std::uint64_t errors = 0;
};

/**
 * An order: the state that an engine shall have. Whole and idempotent, so that sending it twice, or late, does no more
 * than sending it once.
 */
struct EngineOrder
{
    EngineState state;
    std::uint64_t fence = 0;
};

/** The JSON that engines speak about orders: GET /orders and POST /orders. */
namespace EngineProtocol
{
inline constexpr const char *ordersPath = "/orders";

std::string format(const EngineOrder &order);
std::optional<EngineOrder> parseOrder(std::string_view body);
std::string format(const EngineStateReport &report);
std::optional<EngineStateReport> parseReport(std::string_view body);
} // namespace EngineProtocol

} // namespace Dogwoodkeel
