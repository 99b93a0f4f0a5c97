#include <burdock/wire/percentencoding.h>

#include <cstdlib>
#include <event2/http.h>
#include <memory>

namespace Burdock
{

std::string percentEncode(const std::string &text)
{
    const std::unique_ptr<char, void (*)(void *)> encoded(evhttp_uriencode(text.data(), static_cast<ev_ssize_t>(text.size()), 0), &std::free);
    return encoded.get();
}

} // namespace Burdock
