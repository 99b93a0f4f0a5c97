#pragma once

#include <type_traits>
#include <utility>

namespace Burdock
{

/// Comparison for every value type of the project.
///
/// A value type offers a member `fields()` that returns a tuple of references to its members,
/// and with that alone gains equality and a lexicographic order. Values are not changed once
/// they are shared: a changed value is a new value.
template<class T>
auto operator==(const T &a, const T &b) -> decltype(a.fields() == b.fields())
{
    return a.fields() == b.fields();
}

/// True where the two values differ in any field.
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
