#pragma once

#include <burdock/values/names.h>
#include <burdock/wire/connectionpool.h>
#include <burdock/wire/datagramsocket.h>
#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/httpserver.h>
#include <burdock/wire/memorybudget.h>
#include <burdock/wire/peerlinks.h>

#include <memory>

namespace Burdock
{

/// Creates an HttpClient that uses libevent. `defaults` apply to addresses without limits of their own. Responses that arrive are taken from
/// `memory`; without one the client has a budget of its own.
std::unique_ptr<HttpClient> makeHttpClient(EventLoop &loop, const ConnectionLimits &defaults, std::shared_ptr<MemoryBudget> memory = nullptr);

/// Creates an HttpServer that uses libevhtp's parser and libevent's buffers. docs/notes/links.md explains why it does not use
/// libevhtp's server. A `pool` is shared with the other servers of the process, and so is `memory`; without one the server has
/// a budget of its own.
std::unique_ptr<HttpServer>
makeHttpServer(EventLoop &loop, const HttpServerLimits &limits, std::shared_ptr<ConnectionPool> pool = nullptr, std::shared_ptr<MemoryBudget> memory = nullptr);

/// Creates PeerLinks that use websocketpp over libevent's buffers. `self` and `incarnation` are sent in Hello. Frames that arrive are taken
/// from `memory`; without one the links have a budget of their own.
std::unique_ptr<PeerLinks> makePeerLinks(EventLoop &loop, const InstanceId &self, std::uint64_t incarnation, std::shared_ptr<MemoryBudget> memory = nullptr);

/// Creates a DatagramSocket that uses libevent.
std::unique_ptr<DatagramSocket> makeDatagramSocket(EventLoop &loop);

} // namespace Burdock
