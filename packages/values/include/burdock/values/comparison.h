#pragma once

#include <type_traits>
#include <utility>

namespace Burdock
{

/// Equality for value types.
///
/// A value type has a member `fields()` that returns a tuple of references to its members. This provides
/// equality and lexicographic order. A value is immutable once it is shared; a change creates a new
/// value.
template<class T>
auto operator==(const T &a, const T &b) -> decltype(a.fields() == b.fields())
{
    return a.fields() == b.fields();
}

/// Whether two values differ in any field.
template<class T>
auto operator!=(const T &a, const T &b) -> decltype(a.fields() == b.fields())
{
    return !(a.fields() == b.fields());
}

/// Orders two values by their fields, first field first.
template<class T>
auto operator<(const T &a, const T &b) -> decltype(a.fields() < b.fields())
{
    return a.fields() < b.fields();
}

} // namespace Burdock
