#include <burdock/policy/commandcoordinator.h>

#include <utility>

namespace Burdock
{

CommandCoordinator::CommandCoordinator(CommandContext context, CurrentConfiguration current, std::uint64_t seed)
    : context_(std::move(context))
    , current_(std::move(current))
    , random_(seed)
    , alive_(std::make_shared<bool>(true))
{
}

CommandCoordinator::~CommandCoordinator()
{
    *alive_ = false;
}

std::size_t CommandCoordinator::running() const
{
    return runs_.size();
}

std::map<std::string, std::size_t> CommandCoordinator::states() const
{
    std::map<std::string, std::size_t> states;
    for (const auto &run : runs_) {
        ++states[run.second->state()];
    }
    return states;
}

void CommandCoordinator::submit(const CommandRequest &request, CommandRun::Done done)
{
    const ConfigurationPtr configuration = current_();
    const Result<CallerRule> rule = check(request, configuration.get());
    if (!rule) {
        ++context_.counters.notRun;
        return done(tl::make_unexpected(rule.error()));
    }
    const CommandDeclaration &command = configuration->commands.at(request.command);
    const std::uint64_t number = ++last_;
    auto &run = runs_[number];
    run = std::make_unique<CommandRun>(context_, command, *rule, request, random_());
    run->start(std::move(done), [this, number, alive = alive_] {
        if (*alive) {
            runs_.erase(number);
        }
    });
}

Result<CallerRule> CommandCoordinator::check(const CommandRequest &request, const Configuration *configuration) const
{
    if (configuration == nullptr) {
        return notRun(Errc::NotReady, "this instance has no configuration yet; ask another one", std::chrono::seconds(1));
    }
    const auto command = configuration->commands.find(request.command);
    if (command == configuration->commands.end()) {
        return notRun(Errc::NotFound, "command '" + request.command.text() + "' is not declared");
    }
    const auto rule = command->second.callers.find(request.caller);
    if (rule == command->second.callers.end()) {
        return notRun(Errc::NotAllowed, "caller '" + request.caller.text() + "' is not declared for command '" + request.command.text() + "'");
    }
    if (request.deadline && *request.deadline <= Duration{0}) {
        return notRun(Errc::DeadlineExceeded, "the deadline is past");
    }
    if (auto fault = checkKey(request, command->second)) {
        return tl::make_unexpected(std::move(*fault));
    }
    if (runs_.size() >= context_.limits.maxRunning) {
        return notRun(Errc::Overloaded, "too many commands run", context_.limits.retryAfter);
    }
    return rule->second;
}

std::optional<Failure> CommandCoordinator::checkKey(const CommandRequest &request, const CommandDeclaration &command) const
{
    if (!command.unrepeatable) {
        return std::nullopt;
    }
    const Result<ClaimKey> key = parseClaimKey(request.command, request.key);
    if (!key) {
        return key.error();
    }
    const WallTime createdAt = *claimKeyTime(request.key);
    const WallTime now = context_.runtime.wallNow();
    if (createdAt > now + ClockSkewBound) {
        return notRun(Errc::BadRequest, "Idempotency-Key says that it was made in the future").value();
    }
    if (createdAt < now - command.claimWindow) {
        // Whether the command ran can no longer be determined.
        return mayHaveRun(Errc::KeyExpired, "the key is older than the claim window").value();
    }
    return std::nullopt;
}

} // namespace Burdock
