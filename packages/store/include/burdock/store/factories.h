#pragma once

#include <burdock/store/instancelistsource.h>
#include <burdock/store/store.h>
#include <burdock/wire/httpclient.h>

#include <memory>

namespace Burdock
{

/// Creates a Store that uses the etcd v3 JSON gateway at `address`. `timeout` limits every call except watches, which
/// must be confirmed within it.
std::unique_ptr<Store> makeEtcdStore(Runtime &runtime, HttpClient &client, const Address &address, Duration timeout);

/// Creates an InstanceListSource that uses HTTP long polls.
std::unique_ptr<InstanceListSource> makeHttpInstanceList(Runtime &runtime, HttpClient &client, const Address &address);

} // namespace Burdock
