#pragma once

#include <burdock/daemon/backendadapter.h>
#include <burdock/daemon/claimrouter.h>
#include <burdock/daemon/claimstoreadapter.h>
#include <burdock/daemon/configdistributor.h>
#include <burdock/daemon/directory.h>
#include <burdock/daemon/entryservice.h>
#include <burdock/daemon/holderrouter.h>
#include <burdock/daemon/holderservice.h>
#include <burdock/daemon/metrics.h>
#include <burdock/daemon/settings.h>
#include <burdock/daemon/statuspage.h>
#include <burdock/policy/backendlifetable.h>
#include <burdock/policy/budgetedtactics.h>
#include <burdock/policy/claimowner.h>
#include <burdock/policy/claimsweeper.h>
#include <burdock/policy/commandcoordinator.h>
#include <burdock/policy/entrylist.h>
#include <burdock/policy/instancelife.h>
#include <burdock/policy/membership.h>
#include <burdock/policy/querycoordinator.h>
#include <burdock/store/factories.h>
#include <burdock/wire/factories.h>
#include <burdock/wire/probecodec.h>

#include <memory>

namespace Burdock
{

/// One instance of the query tier. Creates and connects its components and contains no decision logic of its own.
class Instance final : private InstanceLifePort
{
public:
    Instance(EventLoop &loop, Settings settings, std::uint64_t incarnation);
    ~Instance() override;
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Starts listening and following the platform's instance list and configuration. The failure names the address that could not be
    /// bound.
    Result<void> start();

    /// Starts the graceful shutdown. `done` is called once nothing is in flight or the remaining requests are abandoned.
    void shutDown(std::function<void()> done);

    /// Returns this instance with the addresses that callers and peers connect to, which are bound by start().
    const ListedInstance &self() const;

private:
    void confirmConfiguration() override;
    void setReady(bool ready) override;
    void announceLeaving() override;
    void closeConnectionsAfterAnswers() override;
    std::size_t inFlight() const override;
    void handOver(std::function<void()> done) override;
    void exit(std::size_t abandoned) override;

    Result<void> listen();
    Result<Address> listenForPeers();
    void startMembership();
    void connectHandlers();
    void handleMessage(const InstanceId &from, PeerMessage message);
    void updateList(const InstanceList &list);
    void updateLive();
    void install(ConfigurationPtr configuration);
    std::vector<InstanceId> liveIds() const;
    /// Returns all live instances except this one.
    std::vector<InstanceId> peerIds() const;
    bool isSweeper(const CommandName &command) const;
    void updateConnectionLimits();
    void onConfigStatus(const ConfigStatus &status);
    ConfigPeerView configPeerView() const;
    bool mayDispatch(const SubRequest &request);
    void onBackendStateChanged(const ServerId &server, BackendState state);
    EntryPorts entryPorts();
    InstanceStatus status() const;
    std::optional<Failure> admissionRefusal();
    Rank rankOf(const CallerId &caller, const IndexName &index, const CommandName &command) const;

    EventLoop &loop_;
    Settings settings_;
    std::uint64_t incarnation_;
    ListedInstance self_;
    ConfigurationPtr configuration_;

    std::shared_ptr<MemoryBudget> memory_;
    std::unique_ptr<HttpClient> client_;
    std::unique_ptr<HttpServer> server_;
    std::unique_ptr<PeerLinks> links_;
    std::unique_ptr<DatagramSocket> socket_;
    std::unique_ptr<ProbeChannel> probes_;
    std::unique_ptr<Membership> membership_;
    std::unique_ptr<Store> store_;
    std::unique_ptr<InstanceListSource> listSource_;

    Directory directory_;
    BackendLifeTable backendLives_;
    BackendAdapter backends_;
    Holder holder_;
    HolderService holderService_;
    HolderRouter router_;
    SnapshotTracker tracker_;
    BudgetedTactics tactics_;
    SubRequestIdGenerator ids_;
    QueryCounters queryCounters_;
    Admission admission_;
    QueryCoordinator queries_;
    ClaimStoreAdapter claimStore_;
    ClaimOwner claimOwner_;
    ClaimRouter claims_;
    ClaimSweeper claimSweeper_;
    CommandCounters commandCounters_;
    CommandCoordinator commands_;
    Metrics metrics_;
    EntryList entryList_;
    EntryService entry_;
    InstanceLife life_;
    std::function<void()> onShutDown_;
    ConfigDistributor configDistributor_;
};

} // namespace Burdock
