#pragma once

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/server.hpp>

namespace Burdock
{

/// The maximum size of a frame in bytes. Receiving a larger one closes the link.
constexpr std::size_t MaxFrameBytes = 4194304;

/// Configures websocketpp for a single thread, without logging, and with the iostream transport.
struct WebSocketConfig : public websocketpp::config::core_client
{
    using type = WebSocketConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;

    struct transport_config : public websocketpp::config::core_client::transport_config
    {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        static const bool enable_multithreading = false;
    };

    using transport_type = websocketpp::transport::iostream::endpoint<transport_config>;

    static const bool enable_multithreading = false;
    static const bool drop_on_protocol_error = true;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;

    /// Each link holds a buffer of this size for its lifetime, so it is small. Larger frames are read in several steps.
    static const size_t connection_read_buffer_size = 2048;
    static const size_t max_message_size = MaxFrameBytes;
    static const size_t max_http_body_size = 0;
};

using WebSocketServer = websocketpp::server<WebSocketConfig>;
using WebSocketClient = websocketpp::client<WebSocketConfig>;
using WebSocketConnection = websocketpp::connection<WebSocketConfig>;

/// The two websocketpp endpoints that create connections. They hold no network state.
struct WebSocketEndpoints
{
    WebSocketServer server;
    WebSocketClient client;
};

} // namespace Burdock
