#include "querystream.h"

#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Sends invoices and compares what callers were told with what the servers ran.
class Invoices
{
public:
    explicit Invoices(Testbed &testbed)
        : testbed_(testbed)
    {
    }

    /// Sends one invoice to an instance; the same key may be sent again, also elsewhere.
    void send(const std::string &instance, const std::string &key)
    {
        ++sent_;
        const json body{{"command", "invoice"}, {"payload", "belt 7"}};
        testbed_.send(testbed_.callersAddress(instance),
                      "POST",
                      "/v1/command",
                      body.dump(),
                      {{"X-Caller", "invoicing"}, {"Idempotency-Key", key}},
                      [this, key](const Result<HttpResponse> &answer) {
                          ++answeredCount_;
                          verdicts_[key].push_back(parseVerdict(answer));
                      });
    }

    bool waitForAnswers()
    {
        return testbed_.eventually([this] { return answeredCount_ == sent_; });
    }

    /// How often the servers ran a key.
    int runCount(const std::string &key)
    {
        const json commands = testbed_.control("GET", "/fake/ran").at("commands");
        return commands.value("invoice/" + key, 0);
    }

    /// The verdicts that callers got for a key; `lost` where there was no answer.
    const std::vector<std::string> &verdicts(const std::string &key) const
    {
        return verdicts_.at(key);
    }

    /// Checks every key: at most one run, exactly one where any answer says `ran`, none where all say `notRun`.
    void checkAll()
    {
        for (const auto &[key, verdicts] : verdicts_) {
            INFO(key << ": " << json(verdicts).dump());
            const int runs = runCount(key);
            CHECK(runs <= 1);
            const auto has = [&verdicts = verdicts](const char *word) { return std::count(verdicts.begin(), verdicts.end(), word); };
            if (has("ran") > 0) {
                CHECK(runs == 1);
            }
            if (has("notRun") == static_cast<std::ptrdiff_t>(verdicts.size())) {
                CHECK(runs == 0);
            }
        }
    }

private:
    static std::string parseVerdict(const Result<HttpResponse> &answer)
    {
        if (!answer) {
            return answer.error().verdict == Verdict::NotRun ? "notRun" : "lost";
        }
        const json body = json::parse(answer->body);
        return (answer->status == 200 ? body : body.at("error")).at("verdict").get<std::string>();
    }

    Testbed &testbed_;
    int sent_ = 0;
    int answeredCount_ = 0;
    std::map<std::string, std::vector<std::string>> verdicts_;
};

/// An idempotency key that tells when this test startTime; the same for the same name and number.
std::string makeKey(const std::string &name, int number)
{
    static const std::string startTime =
        std::to_string(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    return startTime + "-" + name + "-" + std::to_string(number);
}

const std::vector<std::string> AllInstances{"litoral-a", "capital-a", "norte-a"};

} // namespace

TEST_CASE("An invoice sent to every instance at once runs once", "[process][command]")
{
    Deployment deployment;
    Invoices invoices(deployment.testbed);
    for (int number = 0; number < 20; ++number) {
        for (const std::string &instance : AllInstances) {
            invoices.send(instance, makeKey("once", number));
        }
    }
    REQUIRE(invoices.waitForAnswers());
    invoices.checkAll();
    for (int number = 0; number < 20; ++number) {
        CHECK(invoices.runCount(makeKey("once", number)) == 1);
    }
    // A repeat long after tells the outcome and runs nothing.
    CHECK(deployment.testbed.eventually([&] {
        invoices.send("norte-a", makeKey("once", 0));
        return invoices.waitForAnswers() && invoices.verdicts(makeKey("once", 0)).back() == "ran";
    }));
    CHECK(invoices.runCount(makeKey("once", 0)) == 1);
}

TEST_CASE("An unrepeatable command runs at most once and a refusal as not run is true under faults", "[process][command][verdict]")
{
    struct Row
    {
        const char *name;
        const char *target;
        json transport;
        json conduct;
    };
    const std::vector<Row> rows{
        {"the store loses replies after the effect", "store", {{"delivery", "dropped"}, {"path", "/v3/kv/txn"}, {"every", 2}}, json::object()},
        {"the store refuses connections", "store", {{"outage", "refuse"}}, json::object()},
        {"the store is slow", "store", {{"replyDelayMs", 300}}, json::object()},
        {"servers lose replies after the effect", "server", {{"delivery", "dropped"}}, json::object()},
        {"servers truncate replies", "server", {{"delivery", "truncated"}}, json::object()},
        {"servers answer errors", "server", {{"error", 500}}, json::object()},
        {"servers refuse connections", "server", {{"outage", "refuse"}}, json::object()},
        {"servers are leaving and say so", "server", json::object(), {{"draining", true}, {"drainTold", true}}},
        {"servers are thirty times slower", "server", json::object(), {{"slowFactor", 30}}},
    };
    Deployment deployment;
    Testbed &testbed = deployment.testbed;
    Invoices invoices(testbed);
    const json servers{"dealer-0-0", "dealer-0-1", "dealer-0-2"};
    int next = 0;
    for (const Row &row : rows) {
        INFO(row.name);
        testbed.control(
            "POST", "/fake/faults", {{"target", row.target}, {"ids", servers}, {"reset", true}, {"transport", row.transport}, {"conduct", row.conduct}});
        for (int number = 0; number < 6; ++number) {
            const std::string key = makeKey("faulty", next++);
            for (const std::string &instance : AllInstances) {
                invoices.send(instance, key);
            }
        }
        CHECK(invoices.waitForAnswers());
        testbed.control("POST", "/fake/faults", {{"target", row.target}, {"ids", servers}, {"reset", true}});
    }
    invoices.checkAll();
}

TEST_CASE("A claimant that is killed or frozen in the middle makes no command run twice", "[process][command][failure]")
{
    const int signal = GENERATE(SIGKILL, SIGSTOP);
    Deployment deployment;
    Testbed &testbed = deployment.testbed;
    Invoices invoices(testbed);
    testbed.control("POST", "/fake/faults", {{"target", "server"}, {"conduct", {{"slowFactor", 20}}}});
    for (int number = 0; number < 30; ++number) {
        const std::string key = makeKey("orphan", number);
        invoices.send("norte-a", key);
        testbed.loop().runUntil([] { return false; }, std::chrono::milliseconds(3));
        if (number == 20) {
            testbed.process("norte-a").signal(signal);
        }
    }
    for (int number = 0; number < 30; ++number) {
        invoices.send(number % 2 == 0 ? "litoral-a" : "capital-a", makeKey("orphan", number));
    }
    testbed.loop().runUntil([] { return false; }, std::chrono::seconds(4));
    testbed.process("norte-a").signal(SIGCONT);
    CHECK(invoices.waitForAnswers());
    invoices.checkAll();
}
