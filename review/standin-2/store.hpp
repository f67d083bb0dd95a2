// The users' platform store, as PROTOCOL.md describes it: rows, a feed of changes and objects, all in memory.
#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <set>
#include <vector>

using Json = nlohmann::json;

inline std::string encodeBase64(std::string_view data)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < data.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            bits = bits << 8 | (at + byte < data.size() ? static_cast<unsigned char>(data[at + byte]) : 0U);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text.push_back(at + digit <= data.size() ? digits[bits >> (18 - 6 * digit) & 63U] : '=');
        }
    }
    return text;
}

inline std::string decodeQuery(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded.push_back(static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16)));
            at += 2;
        } else {
            decoded.push_back(text[at]);
        }
    }
    return decoded;
}

inline std::map<std::string, std::string> queryOf(const std::string &target)
{
    std::map<std::string, std::string> query;
    const std::size_t mark = target.find('?');
    std::size_t at = mark;
    while (at != std::string::npos) {
        const std::size_t next = target.find('&', at + 1);
        const std::string pair = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        const std::size_t equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? std::string() : decodeQuery(pair.substr(equals + 1));
        at = next;
    }
    return query;
}

class Store
{
public:
    bool listen(const std::string &address)
    {
        const int listener = listenAt(address);
        if (listener < 0) {
            return false;
        }
        serve(listener, [this](int fd) {
            this->serveConnection(fd);
        });
        return true;
    }

    /** Writes a row as the operator or a replica does. @return its version */
    std::uint64_t put(const std::string &table, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->rows[{table, "", key}] = {encodeBase64(value), this->version, false};
        this->changed.notify_all();
        return this->version;
    }

    void remove(const std::string &table, const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->version;
        this->rows[{table, "", key}] = {"", this->version, true};
        this->changed.notify_all();
    }

private:
    struct Key
    {
        std::string table;
        std::string part;
        std::string key;
        auto operator<=>(const Key &) const = default;
    };
    struct Row
    {
        std::string value;
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    static Json describe(const Key &key, const Row &row)
    {
        Json entry{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"value", row.value}, {"ver", row.version}};
        if (row.isRemoved) {
            entry["deleted"] = true;
        }
        return entry;
    }

    Json stamped(Json answer) const
    {
        answer["ver"] = this->version;
        answer["nowMs"] = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->started).count() + 1000;
        return answer;
    }

    static void answer(int fd, int status, const std::string &body, const char *type = "application/json")
    {
        sendAll(fd,
                "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: " + type
                    + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    void serveConnection(int fd)
    {
        Reader reader(fd);
        Message message;
        while (reader.readHead(message, Clock::now() + std::chrono::seconds(60))) {
            reader.readBody(message, false, Clock::now() + std::chrono::seconds(10));
            pause(4);
            this->handle(fd, message);
        }
        ::close(fd);
    }

    void handle(int fd, const Message &message)
    {
        const std::string target = message.target();
        const std::string path = target.substr(0, target.find('?'));
        auto query = queryOf(target);
        if (path == "/rows-tx") {
            this->transact(fd, Json::parse(message.body, nullptr, false));
        } else if (path == "/rows-get") {
            const std::lock_guard lock(this->mutex);
            const std::size_t limit = query["limit"].empty() ? 500 : std::min<std::size_t>(500, std::stoul(query["limit"]));
            Json found = Json::array();
            bool isTruncated = false;
            for (auto row = this->rows.lower_bound({query["table"], query["part"], query["from"]}); row != this->rows.end();
                 ++row) {
                const auto &[key, value] = *row;
                const bool isPast = key.table != query["table"] || key.part != query["part"]
                    || (!query["to"].empty() && key.key >= query["to"]);
                if (isPast) {
                    break;
                }
                if (value.isRemoved) {
                    continue;
                }
                if (found.size() == limit) {
                    isTruncated = true;
                    break;
                }
                found.push_back(describe(key, value));
            }
            answer(fd, 200, this->stamped({{"rows", found}, {"truncated", isTruncated}}).dump());
        } else if (path == "/rows-parts") {
            const std::lock_guard lock(this->mutex);
            std::set<std::string> parts;
            for (const auto &[key, row] : this->rows) {
                if (key.table == query["table"] && !row.isRemoved && key.part > query["afterRev"]) {
                    parts.insert(key.part);
                }
            }
            answer(fd, 200, this->stamped({{"parts", parts}}).dump());
        } else if (path == "/rows-feed") {
            this->feed(fd, query["table"], std::stoull("0" + query["afterRev"]), std::stoll("0" + query["waitMs"]));
        } else if (path.starts_with("/blob-")) {
            this->handleObject(fd, message, path);
        } else {
            answer(fd, 404, "{}");
        }
    }

    void transact(int fd, const Json &call)
    {
        pause(3);
        const std::lock_guard lock(this->mutex);
        const auto keyOf = [](const Json &entry) {
            return Key{entry.value("table", ""), entry.value("part", ""), entry.value("key", "")};
        };
        Json current = Json::array();
        bool isMet = true;
        for (const Json &entry : call.value("expectedRev", Json::array())) {
            const Key key = keyOf(entry);
            const auto found = this->rows.find(key);
            const bool exists = found != this->rows.end() && !found->second.isRemoved;
            const std::uint64_t actual = exists ? found->second.version : 0;
            isMet = isMet && actual == entry.value("ver", std::uint64_t(0));
            if (exists) {
                current.push_back(describe(key, found->second));
            }
        }
        if (!isMet) {
            answer(fd, 412, this->stamped({{"rows", current}}).dump());
            return;
        }
        ++this->version;
        for (const Json &entry : call.value("puts", Json::array())) {
            this->rows[keyOf(entry)] = {entry.value("value", ""), this->version, false};
        }
        for (const Json &entry : call.value("remove", Json::array())) {
            const auto found = this->rows.find(keyOf(entry));
            if (found != this->rows.end() && !found->second.isRemoved) {
                found->second = {"", this->version, true};
            }
        }
        this->changed.notify_all();
        answer(fd, 200, this->stamped(Json::object()).dump());
    }

    void feed(int fd, const std::string &table, std::uint64_t after, std::int64_t waitMs)
    {
        std::unique_lock lock(this->mutex);
        const auto until = Clock::now() + Milliseconds(waitMs);
        std::map<std::uint64_t, std::vector<Json>> found;
        for (;;) {
            for (auto row = this->rows.lower_bound({table, "", ""}); row != this->rows.end() && row->first.table == table;
                 ++row) {
                if (row->second.version > after) {
                    found[row->second.version].push_back(describe(row->first, row->second));
                }
            }
            if (!found.empty() || this->changed.wait_until(lock, until) == std::cv_status::timeout) {
                break;
            }
        }
        Json list = Json::array();
        for (const auto &[number, entries] : found) {
            for (const Json &entry : entries) {
                list.push_back(entry);
            }
        }
        const std::string body = this->stamped({{"rows", list}}).dump();
        lock.unlock();
        answer(fd, 200, body);
    }

    void handleObject(int fd, const Message &message, const std::string &path)
    {
        pause(20);
        const std::string name = decodeQuery(path.substr(path.find('/', 1) + 1));
        const std::lock_guard lock(this->mutex);
        const bool isPresent = this->objects.count(name) != 0;
        if (path.starts_with("/blob-put/")) {
            if (isPresent && message.header("if-none-match") == "*") {
                answer(fd, 412, "{}");
                return;
            }
            this->objects[name] = message.body;
            answer(fd, 200, "{}");
        } else if (path.starts_with("/blob-get/")) {
            isPresent ? answer(fd, 200, this->objects[name], "application/octet-stream") : answer(fd, 404, "{}");
        } else if (path.starts_with("/blob-drop/")) {
            this->objects.erase(name);
            answer(fd, isPresent ? 200 : 404, "{}");
        } else {
            answer(fd, 404, "{}");
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<Key, Row> rows;
    std::map<std::string, std::string> objects;
    std::uint64_t version = 0;
    Clock::time_point started = Clock::now();
};
