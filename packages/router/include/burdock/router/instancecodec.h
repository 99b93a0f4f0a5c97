#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/values/failure.h>

namespace Burdock
{

/// An instance's record as JSON in the store.
std::string writeInstance(const InstanceRecord &record);

/// The record of a stored value; an error where it is none.
Result<InstanceRecord> readInstance(const std::string &value);

} // namespace Burdock
