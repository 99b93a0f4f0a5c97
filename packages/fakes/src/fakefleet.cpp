#include <burdock/fakes/fakefleet.h>

namespace Burdock
{

namespace
{

/// Watches stay open through a freeze, but not through an outage.
void applyOutage(FakeHttpServer &server, Outage outage)
{
    if (outage == Outage::Refuse) {
        server.refuseConnections();
    } else if (outage == Outage::None) {
        server.acceptConnections();
    }
}

} // namespace

FakePort::FakePort(Runtime &runtime, event_base *base, FakeHandler handler)
    : server(
        runtime, base, [this](HttpServerRequest request, std::shared_ptr<FakeResponder> responder) { gate.handle(std::move(request), std::move(responder)); })
    , gate(runtime, std::move(handler), [this](Outage outage) { applyOutage(server, outage); })
{
}

FakeFleet::FakeFleet(Runtime &runtime, event_base *base, const FleetFile &file)
    : runtime_(runtime)
    , store_(runtime)
    , list_(runtime)
{
    for (const FakeIndexDeclaration &index : file.indexes) {
        indexes_.emplace(index.name, FakeIndex(index.name, index.documents, index.shape));
    }
    storePort_ =
        std::make_unique<FakePort>(runtime, base, [this](const HttpServerRequest &request, const auto &responder) { store_.handle(request, responder); });
    listPort_ =
        std::make_unique<FakePort>(runtime, base, [this](const HttpServerRequest &request, const auto &responder) { list_.handle(request, responder); });
    controlPort_ = std::make_unique<FakePort>(
        runtime, base, [this](const HttpServerRequest &request, const auto &responder) { handleControl(*this, request, responder); });
    std::uint64_t seed = file.seed;
    for (const FakeServerDeclaration &declaration : file.servers) {
        addServer(base, declaration, file, seed++);
    }
}

FakeFleet::~FakeFleet() = default;

void FakeFleet::addServer(event_base *base, const FakeServerDeclaration &declaration, const FleetFile &file, std::uint64_t seed)
{
    FakeServer &server = servers_[declaration.listed.id];
    server.port = std::make_unique<FakePort>(
        runtime_, base, [&server](const HttpServerRequest &request, const auto &responder) { server.backend->handle(request, responder); });
    server.port->server.setConnectionLimit(declaration.connections);
    server.backend = std::make_unique<FakeBackend>(
        runtime_, indexes_, declaration, seed, [&server](std::function<void()> work) { server.port->gate.whenThawed(std::move(work)); });
    for (const FakeIndexDeclaration &index : file.indexes) {
        server.backend->setVersions(index.name, index.versions);
    }
}

Result<FakeAddresses> FakeFleet::listen(const FakeAddresses &wanted)
{
    FakeAddresses bound;
    const std::vector<std::pair<FakePort *, std::pair<const Address *, Address *>>> ports{{storePort_.get(), {&wanted.store, &bound.store}},
                                                                                          {listPort_.get(), {&wanted.instanceList, &bound.instanceList}},
                                                                                          {controlPort_.get(), {&wanted.control, &bound.control}}};
    for (const auto &port : ports) {
        const auto address = port.first->server.listen(*port.second.first);
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        *port.second.second = *address;
    }
    for (auto &server : servers_) {
        ListedServer listed = server.second.backend->declaration().listed;
        const auto address = server.second.port->server.listen(listed.address);
        if (!address) {
            return tl::make_unexpected(address.error());
        }
        listed.address = *address;
        list_.set(listed);
    }
    return bound;
}

} // namespace Burdock
