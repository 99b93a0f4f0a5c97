#pragma once

#include <burdock/store/instancelistsource.h>
#include <burdock/store/store.h>
#include <burdock/wire/httpclient.h>

#include <memory>

namespace Burdock
{

/// A Store over the etcd v3 JSON gateway at `address`. `timeout` bounds every call but watches.
std::unique_ptr<Store> makeEtcdStore(Runtime &runtime, HttpClient &client, const Address &address, Duration timeout);

/// An InstanceListSource over HTTP long polls.
std::unique_ptr<InstanceListSource> makeHttpInstanceList(Runtime &runtime, HttpClient &client, const Address &address);

} // namespace Burdock
