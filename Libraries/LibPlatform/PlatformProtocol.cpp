#include <LibPlatform/PlatformProtocol.h>

#include <LibBase/Encoding.h>

#include <event2/http.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <functional>

namespace Dogwoodkeel::PlatformProtocol
{

namespace
{

using Json = nlohmann::json;

/** Parses the body and runs a decoder on it. @return nothing if the JSON is malformed or lacks an expected field */
template <typename Decoded>
std::optional<Decoded> decodeJson(std::string_view body, const std::function<Decoded(const Json &)> &decoder)
{
    const Json json = Json::parse(body, nullptr, false);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    try {
        return decoder(json);
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

std::string bytesAt(const Json &json, const char *key)
{
    const auto bytes = decodeBase64(json.at(key).get_ref<const std::string &>());
    if (!bytes) {
        throw Json::other_error::create(0, "value is not valid base64", &json);
    }
    return *bytes;
}

Json rowJson(const Row &row)
{
    return {{"key", row.key}, {"value", encodeBase64(row.value)}, {"version", row.version}};
}

Row rowOf(const Json &json)
{
    return {json.at("key"), bytesAt(json, "value"), json.at("version")};
}

} // namespace

std::string keyQuery(std::string_view key)
{
    char *const encoded = evhttp_uriencode(key.data(), static_cast<ev_ssize_t>(key.size()), 0);
    std::string query = std::string("key=") + encoded;
    std::free(encoded);
    return query;
}

std::string encodeRow(const Row &row)
{
    return rowJson(row).dump();
}

std::optional<Row> decodeRow(std::string_view body)
{
    return decodeJson<Row>(body, rowOf);
}

std::string encodeRows(const std::vector<Row> &rows)
{
    Json list = Json::array();
    for (const Row &row : rows) {
        list.push_back(rowJson(row));
    }
    return list.dump();
}

std::optional<std::vector<Row>> decodeRows(std::string_view body)
{
    return decodeJson<std::vector<Row>>(body, [](const Json &json) {
        std::vector<Row> rows;
        for (const Json &row : json) {
            rows.push_back(rowOf(row));
        }
        return rows;
    });
}

std::string encodeRange(const std::string &from, const std::string &to, std::size_t limit)
{
    return Json({{"from", from}, {"to", to}, {"limit", limit}}).dump();
}

std::optional<Range> decodeRange(std::string_view body)
{
    return decodeJson<Range>(body, [](const Json &json) {
        return Range{json.at("from"), json.at("to"), json.at("limit")};
    });
}

std::string encodeTransaction(const Transaction &transaction)
{
    Json conditions = Json::array();
    for (const RowCondition &condition : transaction.conditions) {
        Json entry{{"key", condition.key}};
        if (condition.version) {
            entry["version"] = *condition.version;
        }
        conditions.push_back(std::move(entry));
    }
    Json writes = Json::array();
    for (const RowWrite &write : transaction.writes) {
        Json entry{{"key", write.key}};
        if (write.value) {
            entry["value"] = encodeBase64(*write.value);
        }
        writes.push_back(std::move(entry));
    }
    return Json({{"conditions", std::move(conditions)}, {"writes", std::move(writes)}}).dump();
}

std::optional<Transaction> decodeTransaction(std::string_view body)
{
    return decodeJson<Transaction>(body, [](const Json &json) {
        Transaction transaction;
        for (const Json &entry : json.at("conditions")) {
            const bool mustExist = entry.contains("version");
            transaction.conditions.push_back(
                {entry.at("key"), mustExist ? std::optional<RowVersion>(entry.at("version")) : std::nullopt});
        }
        for (const Json &entry : json.at("writes")) {
            const bool isRemoval = !entry.contains("value");
            transaction.writes.push_back(
                {entry.at("key"), isRemoval ? std::nullopt : std::optional<std::string>(bytesAt(entry, "value"))});
        }
        return transaction;
    });
}

std::string encodeKeys(const std::vector<std::string> &keys)
{
    return Json(keys).dump();
}

std::optional<std::vector<std::string>> decodeKeys(std::string_view body)
{
    return decodeJson<std::vector<std::string>>(body, [](const Json &json) {
        return json.get<std::vector<std::string>>();
    });
}

std::string encodeVms(const std::vector<ListedVm> &vms)
{
    Json list = Json::array();
    for (const ListedVm &vm : vms) {
        list.push_back({{"name", vm.name.value()}, {"leaving", vm.isLeaving}});
    }
    return list.dump();
}

std::optional<std::vector<ListedVm>> decodeVms(std::string_view body)
{
    return decodeJson<std::vector<ListedVm>>(body, [](const Json &json) {
        std::vector<ListedVm> vms;
        for (const Json &vm : json) {
            vms.push_back({VmName(vm.at("name")), vm.at("leaving")});
        }
        return vms;
    });
}

} // namespace Dogwoodkeel::PlatformProtocol
