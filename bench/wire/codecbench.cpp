#include "bench.h"
#include "messages.h"

#include <nlohmann/json.hpp>
#include <string>

namespace Burdock::Bench
{

namespace
{

constexpr std::size_t Runs = 9;
constexpr std::size_t Messages = 40000;

void benchMessage(const std::string &name, const PeerMessage &message, std::size_t perFrame)
{
    const std::vector<PeerMessage> messages(perFrame, message);
    const std::string frame = encodeFrame(messages);
    const std::size_t frames = Messages / perFrame;
    std::size_t sink = 0;
    const std::string suffix = "." + std::to_string(perFrame) + "-a-frame";
    printValue((name + ".bytes" + suffix).c_str(), static_cast<double>(frame.size()) / static_cast<double>(perFrame), "bytes/message");
    const auto repeat = [frames](const auto &work) {
        return timeRuns(Runs, static_cast<double>(Messages), [&] {
            for (std::size_t i = 0; i < frames; ++i) {
                work();
            }
        });
    };
    printMinMedianMax((name + ".encode" + suffix).c_str(), repeat([&] { sink += encodeFrame(messages).size(); }), "us/message");
    printMinMedianMax((name + ".decode" + suffix).c_str(), repeat([&] { sink += decodeFrame(frame)->size(); }), "us/message");
    // Parses the CBOR tree without converting it to messages: the lower bound for decoding through nlohmann's tree.
    printMinMedianMax((name + ".decode-tree-only" + suffix).c_str(), repeat([&] { sink += nlohmann::json::from_cbor(frame).size(); }), "us/message");
    if (sink == 0) {
        std::puts("no data was processed");
    }
}

} // namespace

void benchCodec()
{
    for (const std::size_t perFrame : {1, 8, 20}) {
        benchMessage("subrequest", exampleSubRequest(), perFrame);
        benchMessage("subreply", exampleSubReply(), perFrame);
    }
}

} // namespace Burdock::Bench
