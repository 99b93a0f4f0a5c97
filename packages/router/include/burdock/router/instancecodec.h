#pragma once

#include <burdock/routing/instancetable.h>
#include <burdock/values/failure.h>

namespace Burdock
{

/// Encodes an instance's record as JSON for the store.
std::string writeInstance(const InstanceRecord &record);

/// Decodes a stored value; returns an error if it is not an instance's record.
Result<InstanceRecord> readInstance(const std::string &value);

} // namespace Burdock
