#include "internal/serverconnection.h"

#include <utility>

namespace Burdock
{

HttpExchange::HttpExchange(ServerConnection &connection, std::shared_ptr<HttpServerCounters> counters)
    : connection_(&connection)
    , counters_(std::move(counters))
{
}

void HttpExchange::respond(HttpOutgoing answer)
{
    if (connection_ == nullptr) {
        ++counters_->droppedAnswers;
        return;
    }
    connection_->answer(answer);
}

void HttpExchange::sendChunk(const std::string &piece)
{
    if (connection_ != nullptr) {
        connection_->sendChunk(piece);
    }
}

void HttpExchange::finish()
{
    if (connection_ != nullptr) {
        connection_->finish();
    }
}

void HttpExchange::onGone(std::function<void()> gone)
{
    if (connection_ != nullptr) {
        gone_ = std::move(gone);
    }
}

void HttpExchange::complete()
{
    connection_ = nullptr;
    gone_ = nullptr;
}

void HttpExchange::clientGone()
{
    connection_ = nullptr;
    const auto gone = std::exchange(gone_, nullptr);
    if (gone) {
        gone();
    }
}

} // namespace Burdock
