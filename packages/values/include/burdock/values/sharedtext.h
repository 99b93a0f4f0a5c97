#pragma once

#include <cstddef>
#include <memory>
#include <ostream>
#include <string>
#include <utility>

namespace Burdock
{

/// Immutable bytes, such as the body of a message, that any number of owners share and none copies.
///
/// Converts from and to std::string, so that code that has bytes of its own, or only reads them, need not know that they are shared.
class SharedText
{
public:
    using value_type = char;
    using const_iterator = std::string::const_iterator;

    SharedText() = default;
    SharedText(std::string text) // NOLINT(google-explicit-constructor)
        : text_(text.empty() ? nullptr : std::make_shared<const std::string>(std::move(text)))
    {
    }
    SharedText(const char *text) // NOLINT(google-explicit-constructor)
        : SharedText(std::string(text))
    {
    }
    /// Shares bytes that another object owns, which lives as long as they do.
    explicit SharedText(std::shared_ptr<const std::string> text)
        : text_(std::move(text))
    {
    }

    const std::string &text() const
    {
        static const std::string empty;
        return text_ ? *text_ : empty;
    }
    operator const std::string &() const // NOLINT(google-explicit-constructor)
    {
        return text();
    }

    bool empty() const
    {
        return text().empty();
    }
    std::size_t size() const
    {
        return text().size();
    }
    const char *data() const
    {
        return text().data();
    }
    const_iterator begin() const
    {
        return text().begin();
    }
    const_iterator end() const
    {
        return text().end();
    }

private:
    std::shared_ptr<const std::string> text_;
};

inline bool operator==(const SharedText &left, const SharedText &right)
{
    return left.text() == right.text();
}

inline bool operator!=(const SharedText &left, const SharedText &right)
{
    return !(left == right);
}

inline std::ostream &operator<<(std::ostream &stream, const SharedText &text)
{
    return stream << text.text();
}

} // namespace Burdock
