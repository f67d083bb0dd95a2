// Passes fuzzed input to the decoders of untrusted data; the first byte selects the decoder.
#include <LibBase/Findings.h>
#include <LibHttp/HttpTypes.h>
#include <LibHttp/ServerSentEvents.h>
#include <LibPlatform/PlatformProtocol.h>
#include <LibRouting/Quarantine.h>
#include <LibSettings/SettingsLoader.h>
#include <LibWire/Codec.h>
#include <LibWire/FrameCodec.h>
#include <LibWire/Generated/Messages.h>
#include <Services/Entry/Completion.h>
#include <Services/Entry/JobParser.h>
#include <platform/ConfigurationFormat.h>
#include <platform/JobFormat.h>
#include <platform/ReplicaFormat.h>

#include <array>
#include <cstdint>
#include <string>

using namespace Dogwoodkeel;

namespace
{

constexpr std::size_t maxBytes = 65536;

void readCompletion(const std::string &text)
{
    for (const CompletionForm form : {CompletionForm::Chat, CompletionForm::Text}) {
        if (const auto request = CompletionRequest::parse(form, text)) {
            request->engineBody("text", 1);
        }
    }
    CompletionDelta::parse(text);
    contentFingerprint("m", text);
}

void readJob(const std::string &text)
{
    JobParser parser({100, 1000, 7});
    parser.feed(text);
    parser.end();
}

void readEvents(const std::string &text)
{
    ServerSentEvents events(maxBytes);
    events.feed(text);
    queryValue(text, "key");
}

void readFrames(const std::string &text)
{
    FrameReader reader(MessageKey("key"), maxBytes);
    reader.feed(text);
    while (reader.next()) { }
}

void readMessages(const std::string &text)
{
    decode<JournalGroup>(text);
    decode<Member>(text);
    decode<ClaimRequest>(text);
    decode<CommitItemsRequest>(text);
    decode<ListJobsResponse>(text);
}

void readPlatform(const std::string &text)
{
    PlatformProtocol::decodeRows(text);
    PlatformProtocol::decodeRange(text);
    PlatformProtocol::decodeTransaction(text);
    PlatformProtocol::decodeKeys(text);
    PlatformProtocol::decodeVms(text);
}

void readSettings(const std::string &text)
{
    Findings findings;
    loadSettings({{"fuzz", text}}, findings);
}

/** Decodes rows of the users' platform that other programs may write as well. */
void readSharedRows(const std::string &text)
{
    decodeReplica("key", text);
    decodeConfiguration(text);
    decodeSubmission(text);
    decode<NodeRecord>(text);
    decode<OpenJob>(text);
    decode<JobHead>(text);
    decode<JobContent>(text);
    decode<ItemProgress>(text);
}

constexpr std::array<void (*)(const std::string &), 8> readers{
    readCompletion, readJob, readEvents, readFrames, readMessages, readPlatform, readSettings, readSharedRows};

} // namespace

// libFuzzer prescribes the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) // NOLINT(readability-identifier-naming)
{
    if (size > 0) {
        readers[data[0] % readers.size()](std::string(reinterpret_cast<const char *>(data + 1), size - 1));
    }
    return 0;
}
