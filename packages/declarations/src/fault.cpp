#include <burdock/declarations/fault.h>

namespace Burdock
{

std::string SourcePlace::toString() const
{
    return file + ":" + std::to_string(line) + ":" + std::to_string(column);
}

std::string DeclarationFault::toString() const
{
    const std::string text = place.toString() + ": " + message;
    return other ? text + "; the other place is " + other->toString() : text;
}

} // namespace Burdock
