/// Processor time and memory of the wire package: codec, links and HTTP.
///
///     wirebench [codec|links|http]...
///
/// Every line is `name value unit`. Both ends of a link, and of the connections in the HTTP memory test, run in this
/// process, so their cost is split by side only where a line says so.

#include "bench.h"

#include <cstring>
#include <malloc.h>
#include <map>
#include <string>

namespace Burdock::Bench
{

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

} // namespace Burdock::Bench

int main(int count, char **arguments)
{
    using namespace Burdock::Bench;
    const std::map<std::string, void (*)()> benches{{"codec", &benchCodec}, {"http", &benchHttp}, {"links", &benchLinks}};
    for (const auto &[name, run] : benches) {
        bool wanted = count == 1;
        for (int i = 1; i < count; ++i) {
            wanted = wanted || name == arguments[i];
        }
        if (wanted) {
            run();
        }
    }
    return 0;
}
