#pragma once

#include <LibPlatform/TableService.h>
#include <LibPlatform/VmList.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * The HTTP protocol of the platform's service: paths, and JSON bodies with base64 values. Contains the encoders and decoders
 * of both sides, so that the client and the test server cannot diverge.
 */
namespace Dogwoodkeel::PlatformProtocol
{

inline constexpr const char *rowPath = "/table/row";
inline constexpr const char *rangePath = "/table/range";
inline constexpr const char *transactionPath = "/table/transaction";
inline constexpr const char *objectPath = "/object";
inline constexpr const char *listPath = "/objects";
inline constexpr const char *vmsPath = "/vms";

/** @return the query string for a key. */
std::string keyQuery(std::string_view key);

/** Parameters of a range read. */
struct Range
{
    std::string from;
    std::string to;
    std::size_t limit = 0;
};

std::string encodeRow(const Row &row);
std::optional<Row> decodeRow(std::string_view body);
std::string encodeRows(const std::vector<Row> &rows);
std::optional<std::vector<Row>> decodeRows(std::string_view body);
std::string encodeRange(const std::string &from, const std::string &to, std::size_t limit);
std::optional<Range> decodeRange(std::string_view body);
std::string encodeTransaction(const Transaction &transaction);
std::optional<Transaction> decodeTransaction(std::string_view body);
std::string encodeKeys(const std::vector<std::string> &keys);
std::optional<std::vector<std::string>> decodeKeys(std::string_view body);
std::string encodeVms(const std::vector<ListedVm> &vms);
std::optional<std::vector<ListedVm>> decodeVms(std::string_view body);

} // namespace Dogwoodkeel::PlatformProtocol
