/// @file
/// Tells whether this host's own links to upstreams are cut.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <cstddef>
#include <vector>

namespace daleshelf
{

/// How a new connection to an upstream is opened.
enum class upstream_path
{
    direct,
    relayed, ///< through a peer
    none,    ///< neither works now
};

struct link_monitor_options
{
    /// Distinct upstreams of a service that must fail, without a connection to
    /// any of the service in between, before the host's own links are
    /// suspected.
    std::size_t min_failures = 3;
    /// Failures older than this are no evidence of a cut in progress.
    absl::Duration failure_window = absl::Seconds(2);
    /// A relayed service that has responded within this time is reachable,
    /// although no peer could be asked just now.
    absl::Duration response_memory = absl::Milliseconds(250);
    /// Delay of the next relay attempt after one that failed; doubles with each
    /// consecutive failure.
    absl::Duration min_relay_delay = absl::Milliseconds(500);
    absl::Duration max_relay_delay = absl::Seconds(2);
    /// Consecutive successful probes after which direct connections are used
    /// again.
    int min_probes = 2;
};

/// Distinguishes a partition of this host from failures of upstreams, by
/// comparing what this host and its peers can connect to. Upstreams that this
/// host cannot connect to, and a peer can, are behind a cut link of this host;
/// those that neither can connect to have failed. Only new connections count:
/// existing ones can outlive a cut that refuses new ones. See
/// docs/design/partitions.md.
class link_monitor
{
public:
    explicit link_monitor(const link_monitor_options& options = {});

    /// @return the path of a new connection
    [[nodiscard]] upstream_path path_to(const service_name& service) const;

    /// @return whether connections to the service are relayed
    [[nodiscard]] bool is_relayed(const service_name& service) const;

    /// @return whether a connection that failed directly is to be tried through
    /// a peer
    [[nodiscard]] bool should_ask_peer(const service_name& service,
                                       absl::Time now) const;

    /// Records a direct connection to one of the service's upstreams.
    void record_connected(const service_name& service, absl::Time now);

    /// Records that an upstream could not be connected directly.
    /// @param usable_count number of the service's usable upstreams
    void record_failed(const service_name& service, const upstream_id& server,
                       std::size_t usable_count, absl::Time now);

    /// Records a response of the service, received directly or through a peer.
    void record_response(const service_name& service, absl::Time now);

    /// Records that a peer has connected to an upstream that this host cannot
    /// connect to.
    /// @return whether the links to the service were believed to work before
    bool record_relayed(const service_name& service, absl::Time now);

    /// Records that a peer could not connect to an upstream.
    /// @param usable_count number of the service's usable upstreams
    void record_relay_failed(const service_name& service,
                             const upstream_id& server,
                             std::size_t usable_count, absl::Time now);

    /// Records that no peer could be asked to connect.
    void record_no_relay(const service_name& service, absl::Time now);

    /// Records a direct connection attempt made to test the links.
    /// @return whether the service is connected directly from now on, and was
    /// not before
    bool record_probe(const service_name& service, bool is_connected,
                      absl::Time now);

    /// @return services that are not connected directly now, whose links are
    /// to be probed
    [[nodiscard]] std::vector<service_name> impaired_services() const;

    /// @return whether an unreachable service is to be tried through a peer
    [[nodiscard]] bool should_probe_peers(const service_name& service,
                                          absl::Time now) const;

    /// @return whether no upstream of any service can be connected directly
    /// while peers can
    [[nodiscard]] bool is_partitioned() const
    {
        return m_is_partitioned;
    }

    /// @return time of the earliest connect failure that is evidence for the
    /// cut of the service's links; `InfiniteFuture`: there is none
    [[nodiscard]] absl::Time failing_since(const service_name& service) const;

private:
    struct service_links
    {
        absl::flat_hash_map<upstream_id, absl::Time> failures;
        absl::flat_hash_map<upstream_id, absl::Time> relay_failures;
        std::size_t usable_count = 0;
        absl::Time responded_at = absl::InfinitePast();
        bool is_relayed = false;
        bool is_total = false; ///< no service was connected meanwhile
        bool is_unreachable = false;
        absl::Time next_relay = absl::InfinitePast();
        absl::Duration relay_delay = absl::ZeroDuration();
        int probes = 0; ///< consecutive successful ones
    };

    [[nodiscard]] bool is_suspect(const service_links& links,
                                  absl::Time now) const;
    void delay_relays(service_links& links, absl::Time now) const;
    static void mark_unreachable(service_links& links,
                                 absl::Time failing_since);
    void update_partitioned();

    link_monitor_options m_options;
    absl::flat_hash_map<service_name, service_links> m_services;
    absl::Time m_connected_at = absl::InfinitePast(); ///< any service
    bool m_is_partitioned = false;
};

} // namespace daleshelf
