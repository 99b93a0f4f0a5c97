#include "querystream.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// A caller that caches the list of entries for its maximum age, as docs/INTERFACES.md requires, and uses the first entry.
class CachingCaller
{
public:
    CachingCaller(Testbed &testbed, std::string caller, std::string index, std::string home)
        : testbed_(testbed)
        , caller_(std::move(caller))
        , index_(std::move(index))
        , home_(std::move(home))
    {
    }

    /// Sends one query to the current entry; fetches the list of entries first if it has expired.
    void sendQuery()
    {
        if (testbed_.loop().now() >= expires_) {
            refresh();
        }
        ++sent_;
        const json body{{"index", index_}, {"query", "belt"}, {"limit", 20}};
        const TimePoint sentAt = testbed_.loop().now();
        testbed_.send(entry_, "POST", "/v1/query", body.dump(), {{"X-Caller", caller_}}, [this, sentAt, target = entry_](const Result<HttpResponse> &answer) {
            ++answeredCount_;
            const bool complete = answer && answer->status == 200 && json::parse(answer->body).at("coverage").at("missing").empty();
            if (!complete) {
                const std::string what = answer ? std::to_string(answer->status) + " " + answer->body.text() : answer.error().message;
                const auto since = [this](TimePoint at) { return std::to_string((at - started_) / std::chrono::milliseconds(1)); };
                failures_.push_back("sent to " + target.toString() + " at " + since(sentAt) + " ms, ended at " + since(testbed_.loop().now()) + " ms: " + what);
            }
        });
    }

    bool allAnswered() const
    {
        return answeredCount_ == sent_;
    }

    /// A description of each query that was not answered with full coverage.
    const std::vector<std::string> &failures() const
    {
        return failures_;
    }

private:
    void refresh()
    {
        for (const std::string &instance : {home_, std::string("litoral-a"), std::string("capital-a"), std::string("norte-a")}) {
            const auto answer = testbed_.call(testbed_.callersAddress(instance), "GET", "/v1/entries", "");
            if (!answer || answer->status != 200) {
                continue;
            }
            const json body = json::parse(answer->body);
            if (!body.at("entries").empty()) {
                entry_ = *Address::parse(body.at("entries").at(0).at("address").get<std::string>());
                const std::chrono::duration<double> age(body.at("maxAgeSeconds").get<double>());
                expires_ = testbed_.loop().now() + std::chrono::duration_cast<Duration>(age);
                return;
            }
        }
    }

    Testbed &testbed_;
    std::string caller_;
    std::string index_;
    std::string home_;
    const TimePoint started_ = testbed_.loop().now();
    Address entry_;
    TimePoint expires_{};
    int sent_ = 0;
    int answeredCount_ = 0;
    std::vector<std::string> failures_;
};

/// A copy of Pereyra Hermanos' declarations in which every caller waits up to 15 s. A busy machine that schedules a dozen processes
/// slowly then does not fail the test; only a cut connection, a refusal or a missing shard does.
class LongWaitDeclarations
{
public:
    LongWaitDeclarations()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "burdock-patient-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        folder_ = pattern;
        std::filesystem::copy(std::string(BURDOCK_EXAMPLES) + "/pereyra-hermanos", folder_, std::filesystem::copy_options::recursive);
        for (const auto &file : std::filesystem::directory_iterator(folder_ / "teams")) {
            std::ostringstream text;
            text << std::ifstream(file.path()).rdbuf();
            std::ofstream(file.path()) << std::regex_replace(text.str(), std::regex("longest-wait = \"[^\"]*\""), "longest-wait = \"15s\"");
        }
    }

    ~LongWaitDeclarations()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    LongWaitDeclarations(const LongWaitDeclarations &) = delete;
    LongWaitDeclarations &operator=(const LongWaitDeclarations &) = delete;

    std::string folder() const
    {
        return folder_.string();
    }

private:
    std::filesystem::path folder_;
};

} // namespace

TEST_CASE("A rolling restart of all instances under load of every rank cuts and refuses no request", "[process][shutdown]")
{
    const LongWaitDeclarations declarations;
    Deployment deployment(declarations.folder());
    Testbed &testbed = deployment.testbed;
    // Slow servers keep requests in flight whenever an instance leaves.
    json slow = json::array();
    for (int number = 0; number < 10; ++number) {
        slow.push_back("parts-" + std::to_string(number) + "-0");
        slow.push_back("archive-" + std::to_string(number));
    }
    testbed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", slow}, {"conduct", {{"slowFactor", 20}}}});
    std::vector<std::unique_ptr<CachingCaller>> callers;
    for (const std::string home : {"litoral-a", "capital-a", "norte-a"}) {
        callers.push_back(std::make_unique<CachingCaller>(testbed, "dealer-portal", "parts", home));
        callers.push_back(std::make_unique<CachingCaller>(testbed, "archive-pull", "ledger", home));
        callers.push_back(std::make_unique<CachingCaller>(testbed, "technician-tablet", "technician", home));
    }
    std::size_t next = 0;
    const auto loadWhile = [&](const std::function<bool()> &condition) {
        return testbed.eventually([&] {
            callers[next++ % callers.size()]->sendQuery();
            return !condition();
        });
    };
    for (const std::string region : {"litoral", "capital", "norte"}) {
        const std::string id = region + "-a";
        testbed.process(id).signal(SIGTERM);
        REQUIRE(loadWhile([&] { return testbed.process(id).isRunning(); }));
        CHECK(testbed.process(id).wait() == 0);
        testbed.unlistInstance(id);
        testbed.startInstance(id, region);
        REQUIRE(testbed.waitUntilReady());
        const TimePoint settled = testbed.loop().now() + std::chrono::seconds(2);
        REQUIRE(loadWhile([&] { return testbed.loop().now() < settled; }));
    }
    REQUIRE(testbed.eventually([&] { return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->allAnswered(); }); }));
    for (const auto &caller : callers) {
        INFO(json(caller->failures()).dump());
        CHECK(caller->failures().empty());
    }
}
