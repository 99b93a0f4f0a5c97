#include <burdock/values/optiontable.h>

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace Burdock;

namespace
{

Result<OptionValues> readWords(std::vector<std::string> words)
{
    const OptionTable table(
        "tool", "TOOLTEST_", "A tool.", {{"store-address", "ADDRESS", "127.0.0.1:1", "Where the store is."}, {"json", "", "", "Prints JSON."}});
    words.insert(words.begin(), "tool");
    std::vector<char *> argv;
    for (std::string &word : words) {
        argv.push_back(word.data());
    }
    argv.push_back(nullptr);
    return table.read(static_cast<int>(words.size()), argv.data());
}

} // namespace

TEST_CASE("Flags override environment variables, which override fallbacks", "[values][options]")
{
    CHECK(readWords({})->text("store-address") == "127.0.0.1:1");
    setenv("TOOLTEST_STORE_ADDRESS", "127.0.0.1:2", 1);
    CHECK(readWords({})->text("store-address") == "127.0.0.1:2");
    CHECK(readWords({"--store-address", "127.0.0.1:3"})->text("store-address") == "127.0.0.1:3");
    unsetenv("TOOLTEST_STORE_ADDRESS");
    CHECK_FALSE(readWords({})->on("json"));
    CHECK(readWords({"--json", "rest"})->on("json"));
    CHECK(readWords({"--json", "rest"})->arguments == std::vector<std::string>{"rest"});
}

TEST_CASE("All errors of a command line are reported at once", "[values][options]")
{
    const auto read = readWords({"--stor", "x", "--colour", "--store-address"});
    REQUIRE_FALSE(read);
    CHECK(read.error().message.find("--colour") != std::string::npos);
    CHECK(read.error().message.find("'--store-address' needs a value") != std::string::npos);
}
