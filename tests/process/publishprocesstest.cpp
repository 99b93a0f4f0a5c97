#include "querystream.h"

#include <csignal>
#include <filesystem>
#include <fstream>

using namespace Burdock;
using nlohmann::json;

namespace
{

constexpr int Publishers = 4;
const std::vector<std::string> Instances{"litoral-a", "litoral-b", "litoral-c", "capital-a", "capital-b", "norte-a", "norte-b"};

/// A deployment of seven instances, and variants of its declarations that differ in one number.
class PublishFixture
{
public:
    PublishFixture()
        : testbed("pereyra-hermanos", {"litoral", "capital", "norte"})
        , folder_(std::filesystem::temp_directory_path() / ("burdock-publish-" + std::to_string(getpid())))
    {
        for (const std::string &id : Instances) {
            testbed.startInstance(id, id.substr(0, id.find('-')));
        }
        REQUIRE(testbed.publish() == 0);
        REQUIRE(testbed.waitUntilReady());
    }

    ~PublishFixture()
    {
        std::filesystem::remove_all(folder_);
    }

    PublishFixture(const PublishFixture &) = delete;
    PublishFixture &operator=(const PublishFixture &) = delete;

    /// Creates a folder with the deployment's declarations and one more rule, whose longest-wait is 1000 ms plus `number`.
    std::string variant(int number)
    {
        const auto copy = folder_ / std::to_string(number);
        std::filesystem::create_directories(folder_);
        std::filesystem::copy(testbed.declarations(), copy, std::filesystem::copy_options::recursive);
        std::ofstream(copy / "teams" / "added.toml")
            << "team = \"Added\"\n[[rule]]\ncallers = [\"added\"]\nindex = \"parts\"\nrank = \"batch\"\nlongest-wait = \"" << 1000 + number << "ms\"\n";
        return copy.string();
    }

    /// Starts burdockctl to publish a variant with the given base version; the caller waits for the process.
    std::unique_ptr<ChildProcess> startPublish(int number, const std::string &base)
    {
        return std::make_unique<ChildProcess>(BURDOCK_CTL,
                                              std::vector<std::string>{"publish",
                                                                       "--store-address",
                                                                       testbed.store().toString(),
                                                                       "--instance-list-address",
                                                                       testbed.instanceList().toString(),
                                                                       "--base",
                                                                       base,
                                                                       "--who",
                                                                       "test",
                                                                       "--why",
                                                                       "race",
                                                                       variant(number)});
    }

    /// Returns the version in force on each instance, 0 if it did not answer, and checks that no version went down.
    std::vector<std::uint64_t> versions(const std::vector<std::string> &ids)
    {
        std::vector<std::uint64_t> found;
        found.reserve(ids.size());
        for (const std::string &id : ids) {
            const json status = testbed.status(id);
            const std::uint64_t version = status.is_null() ? 0 : status.at("configuration").at("version").get<std::uint64_t>();
            CHECK(version >= highest_[id]);
            highest_[id] = std::max(highest_[id], version);
            found.push_back(version);
        }
        return found;
    }

    /// Waits until all the instances have this version in force; returns false after 20 s.
    bool waitForVersion(std::uint64_t version, const std::vector<std::string> &ids = Instances)
    {
        return testbed.eventually([&] {
            const auto found = versions(ids);
            return std::all_of(found.begin(), found.end(), [version](std::uint64_t each) { return each == version; });
        });
    }

    Testbed testbed;

private:
    std::filesystem::path folder_;
    std::map<std::string, std::uint64_t> highest_;
};

} // namespace

TEST_CASE("One of several concurrent publishers succeeds, the others exit with code 3, and all instances get the published version", "[process][publish]")
{
    PublishFixture fixture;
    for (int round = 0; round < 3; ++round) {
        std::vector<std::unique_ptr<ChildProcess>> publishers;
        publishers.reserve(Publishers);
        for (int publisher = 0; publisher < Publishers; ++publisher) {
            publishers.push_back(fixture.startPublish(10 * round + publisher, std::to_string(1 + round)));
        }
        std::map<int, int> codes;
        for (const auto &publisher : publishers) {
            publisher->readAll();
            ++codes[publisher->wait()];
        }
        CHECK(codes == std::map<int, int>{{0, 1}, {3, Publishers - 1}});
        CHECK(fixture.waitForVersion(static_cast<std::uint64_t>(2 + round)));
    }
}

TEST_CASE("An accepted configuration reaches all instances despite a lost reply, a store outage or a frozen instance", "[process][publish]")
{
    PublishFixture fixture;
    Testbed &testbed = fixture.testbed;
    SECTION("the reply to the write is lost")
    {
        testbed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"delivery", "dropped"}, {"path", "/v3/kv/txn"}, {"times", 1}}}});
        const auto publish = fixture.startPublish(1, "1");
        publish->readAll();
        CHECK(publish->wait() == 0);
        CHECK(fixture.waitForVersion(2));
    }
    SECTION("the store fails right after it accepted the configuration, and an instance starts during the outage")
    {
        const auto publish = fixture.startPublish(1, "1");
        publish->readAll();
        REQUIRE(publish->wait() == 0);
        testbed.control("POST", "/fake/faults", {{"target", "store"}, {"transport", {{"outage", "refuse"}}}});
        CHECK(fixture.waitForVersion(2));
        testbed.process("norte-b").signal(SIGKILL);
        testbed.process("norte-b").wait();
        testbed.startInstance("norte-c", "norte");
        CHECK(fixture.waitForVersion(2, {"norte-a", "norte-c", "capital-a"}));
        CHECK(testbed.eventually([&] {
            const auto answer = testbed.call(testbed.callersAddress("norte-c"), "GET", "/readyz", "");
            return answer && answer->status == 200;
        }));
    }
    SECTION("an instance that was frozen during the change admits no request under the old version after it resumes")
    {
        testbed.process("litoral-c").signal(SIGSTOP);
        const auto publish = fixture.startPublish(1, "1");
        publish->readAll();
        REQUIRE(publish->wait() == 0);
        CHECK(fixture.waitForVersion(2, {"litoral-a", "capital-a", "norte-a"}));
        testbed.loop().runUntil([] { return false; }, std::chrono::seconds(3));
        testbed.process("litoral-c").signal(SIGCONT);
        const auto answer = testbed.query("litoral-c", "added", "parts");
        REQUIRE(answer);
        const json body = json::parse(answer->body);
        const bool refusedUntilCurrent = answer->status == 503 && body.at("error").at("code") == "notReady";
        CHECK((answer->status == 200 || refusedUntilCurrent));
        CHECK(fixture.waitForVersion(2));
    }
}
