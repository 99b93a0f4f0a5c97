#include "querystream.h"

#include <csignal>

using namespace Burdock;
using nlohmann::json;

namespace
{

/// Sends invoice commands and compares the verdicts that callers received with what the servers ran.
class Invoices
{
public:
    explicit Invoices(Testbed &testbed)
        : testbed_(testbed)
    {
    }

    /// Sends one invoice to an instance; the same key may be sent several times, also to other instances.
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

    /// Waits until every request has an answer or failed; returns false after 20 s.
    bool waitForAnswers()
    {
        return testbed_.eventually([this] { return answeredCount_ == sent_; });
    }

    /// Returns how often the servers ran the command with this key.
    int runCount(const std::string &key)
    {
        const json commands = testbed_.control("GET", "/fake/ran").at("commands");
        return commands.value("invoice/" + key, 0);
    }

    /// Returns the verdicts received for a key; `lost` stands for a request without an answer that may have run.
    const std::vector<std::string> &verdicts(const std::string &key) const
    {
        return verdicts_.at(key);
    }

    /// Checks for every key that it ran at most once, exactly once if any answer says `ran`, and never if all say `notRun`.
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

/// Returns an idempotency key from the name, the number and the start time of the test run, so that a later run uses new keys.
std::string makeKey(const std::string &name, int number)
{
    static const std::string startTime =
        std::to_string(std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    return startTime + "-" + name + "-" + std::to_string(number);
}

const std::vector<std::string> AllInstances{"litoral-a", "capital-a", "norte-a"};

} // namespace

TEST_CASE("An invoice sent to all instances at the same time runs once", "[process][command]")
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
    // A later repeat returns the recorded outcome and does not run the command again.
    CHECK(deployment.testbed.eventually([&] {
        invoices.send("norte-a", makeKey("once", 0));
        return invoices.waitForAnswers() && invoices.verdicts(makeKey("once", 0)).back() == "ran";
    }));
    CHECK(invoices.runCount(makeKey("once", 0)) == 1);
}

TEST_CASE("Under faults, an unrepeatable command runs at most once, and a command refused as notRun did not run", "[process][command][verdict]")
{
    struct Row
    {
        const char *name;
        const char *target;
        json transport;
        json conduct;
    };
    const std::vector<Row> rows{
        {"the store drops replies after it applied the write", "store", {{"delivery", "dropped"}, {"path", "/v3/kv/txn"}, {"every", 2}}, json::object()},
        {"the store refuses connections", "store", {{"outage", "refuse"}}, json::object()},
        {"the store is slow", "store", {{"replyDelayMs", 300}}, json::object()},
        {"servers drop replies after they ran the command", "server", {{"delivery", "dropped"}}, json::object()},
        {"servers truncate replies", "server", {{"delivery", "truncated"}}, json::object()},
        {"servers return errors", "server", {{"error", 500}}, json::object()},
        {"servers refuse connections", "server", {{"outage", "refuse"}}, json::object()},
        {"servers are draining and report it", "server", json::object(), {{"draining", true}, {"drainTold", true}}},
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

TEST_CASE("A command runs at most once if the instance that claimed it is killed or frozen", "[process][command][failure]")
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
