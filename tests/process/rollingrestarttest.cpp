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

/// A caller that keeps the list of entries for its max-age, as docs/INTERFACES.md asks, and uses the first.
class CachingCaller
{
public:
    CachingCaller(Testbed &bed, std::string caller, std::string index, std::string home)
        : bed_(bed)
        , caller_(std::move(caller))
        , index_(std::move(index))
        , home_(std::move(home))
    {
    }

    /// Sends one query to the instance that the caller uses now.
    void sendOne()
    {
        if (bed_.loop().now() >= expires_) {
            refresh();
        }
        ++sent_;
        const json body{{"index", index_}, {"query", "belt"}, {"limit", 20}};
        const TimePoint sentAt = bed_.loop().now();
        bed_.send(entry_, "POST", "/v1/query", body.dump(), {{"X-Caller", caller_}}, [this, sentAt, asked = entry_](const Result<HttpResponse> &answer) {
            ++settled_;
            const bool whole = answer && answer->status == 200 && json::parse(answer->body).at("coverage").at("missing").empty();
            if (!whole) {
                const std::string what = answer ? std::to_string(answer->status) + " " + answer->body : answer.error().message;
                const auto since = [this](TimePoint at) { return std::to_string((at - started_) / std::chrono::milliseconds(1)); };
                troubles_.push_back("sent to " + asked.toString() + " at " + since(sentAt) + " ms, ended at " + since(bed_.loop().now()) + " ms: " + what);
            }
        });
    }

    bool allSettled() const
    {
        return settled_ == sent_;
    }

    const std::vector<std::string> &troubles() const
    {
        return troubles_;
    }

private:
    void refresh()
    {
        for (const std::string &instance : {home_, std::string("litoral-a"), std::string("capital-a"), std::string("norte-a")}) {
            const auto answer = bed_.call(bed_.callersAddress(instance), "GET", "/v1/entries", "");
            if (!answer || answer->status != 200) {
                continue;
            }
            const json body = json::parse(answer->body);
            if (!body.at("entries").empty()) {
                entry_ = *Address::parse(body.at("entries").at(0).at("address").get<std::string>());
                const std::chrono::duration<double> age(body.at("maxAgeSeconds").get<double>());
                expires_ = bed_.loop().now() + std::chrono::duration_cast<Duration>(age);
                return;
            }
        }
    }

    Testbed &bed_;
    std::string caller_;
    std::string index_;
    std::string home_;
    const TimePoint started_ = bed_.loop().now();
    Address entry_;
    TimePoint expires_{};
    int sent_ = 0;
    int settled_ = 0;
    std::vector<std::string> troubles_;
};

/// A copy of Pereyra Hermanos' declarations in which every caller waits for 15 s: how fast a busy machine schedules a dozen
/// processes then decides nothing, and only a cut, a refusal or a lost part can fail the test.
class PatientDeclarations
{
public:
    PatientDeclarations()
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

    ~PatientDeclarations()
    {
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    PatientDeclarations(const PatientDeclarations &) = delete;
    PatientDeclarations &operator=(const PatientDeclarations &) = delete;

    std::string folder() const
    {
        return folder_.string();
    }

private:
    std::filesystem::path folder_;
};

} // namespace

TEST_CASE("A rolling restart of every instance under load of each rank cuts and refuses nothing", "[process][shutdown]")
{
    const PatientDeclarations declarations;
    Deployment deployment(declarations.folder());
    Testbed &bed = deployment.bed;
    // Slow servers, so that requests are in flight whenever an instance leaves.
    json slow = json::array();
    for (int number = 0; number < 10; ++number) {
        slow.push_back("parts-" + std::to_string(number) + "-0");
        slow.push_back("archive-" + std::to_string(number));
    }
    bed.control("POST", "/fake/faults", {{"target", "server"}, {"ids", slow}, {"conduct", {{"slowFactor", 20}}}});
    std::vector<std::unique_ptr<CachingCaller>> callers;
    for (const std::string home : {"litoral-a", "capital-a", "norte-a"}) {
        callers.push_back(std::make_unique<CachingCaller>(bed, "dealer-portal", "parts", home));
        callers.push_back(std::make_unique<CachingCaller>(bed, "archive-pull", "ledger", home));
        callers.push_back(std::make_unique<CachingCaller>(bed, "technician-tablet", "technician", home));
    }
    std::size_t next = 0;
    const auto loadWhile = [&](const std::function<bool()> &condition) {
        return bed.eventually([&] {
            callers[next++ % callers.size()]->sendOne();
            return !condition();
        });
    };
    for (const std::string region : {"litoral", "capital", "norte"}) {
        const std::string id = region + "-a";
        bed.process(id).signal(SIGTERM);
        REQUIRE(loadWhile([&] { return bed.process(id).running(); }));
        CHECK(bed.process(id).wait() == 0);
        bed.unlist(id);
        bed.startInstance(id, region);
        REQUIRE(bed.allReady());
        const TimePoint settled = bed.loop().now() + std::chrono::seconds(2);
        REQUIRE(loadWhile([&] { return bed.loop().now() < settled; }));
    }
    REQUIRE(bed.eventually([&] { return std::all_of(callers.begin(), callers.end(), [](const auto &caller) { return caller->allSettled(); }); }));
    for (const auto &caller : callers) {
        INFO(json(caller->troubles()).dump());
        CHECK(caller->troubles().empty());
    }
}
