#pragma once

#include <LibPlatform/Outcomes.h>

#include <functional>
#include <string>
#include <vector>

namespace Dogwoodkeel
{

/** Result of reading an object. */
struct ObjectResult
{
    ReadOutcome outcome = ReadOutcome::Failed;
    /** Set with Found. */
    std::string content;
};

/** Result of listing objects. */
struct ObjectKeysResult
{
    /** Found (also if there are none) or Failed. */
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<std::string> keys;
};

/** The platform's object store. Objects are immutable. Callbacks run on the owning loop, never from inside the call. */
class ObjectStore
{
public:
    using ObjectRead = std::function<void(ObjectResult)>;
    using KeysRead = std::function<void(ObjectKeysResult)>;
    using Written = std::function<void(WriteOutcome)>;

    virtual ~ObjectStore() = default;

    /** Writes an object that must be absent; Refused if it exists. */
    virtual void putIfAbsent(const std::string &key, const std::string &content, Written done) = 0;
    virtual void get(const std::string &key, ObjectRead done) = 0;
    /** Lists keys in order. @param prefix of the keys to list */
    virtual void list(const std::string &prefix, KeysRead done) = 0;
    virtual void remove(const std::string &key, Written done) = 0;
};

} // namespace Dogwoodkeel
