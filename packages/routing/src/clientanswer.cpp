#include <burdock/routing/clientanswer.h>

#include <algorithm>
#include <utility>

namespace Burdock
{

ClientAnswer refusal(int status, std::string reason, Duration retryAfter)
{
    ClientAnswer answer;
    answer.kind = ClientAnswer::Kind::Refused;
    answer.status = status;
    answer.reason = std::move(reason);
    answer.retryAfter = retryAfter;
    return answer;
}

ClientAnswer failureAnswer(const Failure &failure, bool nothingRan, bool pastDeadline, Duration retryAfter)
{
    if (nothingRan && !pastDeadline) {
        return refusal(AnswerStatus::Unavailable, failure.message, std::max(retryAfter, failure.retryAfter));
    }
    ClientAnswer answer;
    answer.kind = ClientAnswer::Kind::Failed;
    answer.status = pastDeadline ? AnswerStatus::GatewayTimeout : AnswerStatus::BadGateway;
    answer.reason = failure.message;
    return answer;
}

} // namespace Burdock
