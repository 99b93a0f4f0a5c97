#include <burdock/declarations/fault.h>

namespace Burdock
{

std::string SourceLocation::toString() const
{
    return file + ":" + std::to_string(line) + ":" + std::to_string(column);
}

std::string DeclarationFault::toString() const
{
    const std::string text = location.toString() + ": " + message;
    return otherLocation ? text + "; the other place is " + otherLocation->toString() : text;
}

} // namespace Burdock
