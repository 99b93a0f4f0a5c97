#include "internal/serverconnection.h"

#include <utility>

namespace Burdock
{

HttpExchange::HttpExchange(ServerConnection &connection, std::shared_ptr<HttpServerCounters> counters)
    : connection_(&connection)
    , counters_(std::move(counters))
{
}

void HttpExchange::respond(HttpServerResponse answer)
{
    if (connection_ == nullptr) {
        ++counters_->droppedAnswers;
        return;
    }
    connection_->answer(answer);
}

void HttpExchange::sendChunk(const std::string &chunk)
{
    if (connection_ != nullptr) {
        connection_->sendChunk(chunk);
    }
}

void HttpExchange::finish()
{
    if (connection_ != nullptr) {
        connection_->finish();
    }
}

void HttpExchange::setDisconnectHandler(std::function<void()> handler)
{
    if (connection_ != nullptr) {
        disconnectHandler_ = std::move(handler);
    }
}

void HttpExchange::fail(const std::string &)
{
    if (connection_ == nullptr) {
        return;
    }
    const auto handler = std::exchange(disconnectHandler_, nullptr);
    connection_->fail();
    if (handler) {
        handler();
    }
}

void HttpExchange::complete()
{
    connection_ = nullptr;
    disconnectHandler_ = nullptr;
}

void HttpExchange::onClientDisconnected()
{
    connection_ = nullptr;
    const auto handler = std::exchange(disconnectHandler_, nullptr);
    if (handler) {
        handler();
    }
}

} // namespace Burdock
