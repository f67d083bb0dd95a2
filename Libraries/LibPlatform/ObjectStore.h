#pragma once

#include <LibPlatform/Outcomes.h>

#include <functional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** The answer to a read of an object. */
struct ObjectResult
{
    ReadOutcome outcome = ReadOutcome::Failed;
    /** With Found. */
    std::string content;
};

/** The answer to a listing. */
struct ObjectKeysResult
{
    /** Found (also when there are none) or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<std::string> keys;
};

/** The platform's object store. Objects are written once. Answers come on the owning loop, never from inside the call. */
class ObjectStore
{
public:
    using ObjectRead = std::function<void(ObjectResult)>;
    using KeysRead = std::function<void(ObjectKeysResult)>;
    using Written = std::function<void(WriteOutcome)>;

    virtual ~ObjectStore() = default;

    /** Write an object that must be absent: Refused if it is there. */
    virtual void putIfAbsent(const std::string &key, const std::string &content, Written done) = 0;
    virtual void get(const std::string &key, ObjectRead done) = 0;
    /** @param prefix of the keys wanted, in key order */
    virtual void list(const std::string &prefix, KeysRead done) = 0;
    virtual void remove(const std::string &key, Written done) = 0;
};

} // namespace Dogwoodkeel
