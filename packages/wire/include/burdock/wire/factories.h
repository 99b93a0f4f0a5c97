#pragma once

#include <burdock/values/names.h>
#include <burdock/wire/datagramsocket.h>
#include <burdock/wire/eventloop.h>
#include <burdock/wire/httpclient.h>
#include <burdock/wire/httpserver.h>
#include <burdock/wire/peerlinks.h>

#include <memory>

namespace Burdock
{

/// An HttpClient on libevent. `defaults` hold for addresses without limits of their own.
std::unique_ptr<HttpClient> makeHttpClient(EventLoop &loop, const ConnectionLimits &defaults);

/// An HttpServer on libevhtp's parser and libevent's buffers; docs/notes/links.md tells why not on its server.
std::unique_ptr<HttpServer> makeHttpServer(EventLoop &loop, const HttpServerLimits &limits);

/// PeerLinks on websocketpp over libevent's buffers. `self` and `incarnation` go into Hello.
std::unique_ptr<PeerLinks> makePeerLinks(EventLoop &loop, const InstanceId &self, std::uint64_t incarnation);

/// A DatagramSocket on libevent.
std::unique_ptr<DatagramSocket> makeDatagramSocket(EventLoop &loop);

} // namespace Burdock
