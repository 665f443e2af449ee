/// @file
/// Shares the loads of upstreams between the hosts of a fleet.
#pragma once

#include "load_message.hpp"

#include <absl/time/time.h>

#include <base/identifiers.hpp>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// A datagram to one host.
struct load_datagram
{
    host_id to;
    std::string bytes;
};

/// A host in contact, as a possible aggregator.
struct load_peer
{
    host_id name;
    hall_id hall;
};

/// Collects the loads of the hosts of a hall at two aggregators, exchanges the
/// sums between halls, and distributes the sums of all. Decides what is sent to
/// whom; does no I/O. See docs/hard-load.md, part 3.
class load_exchange
{
public:
    load_exchange(host_id self, hall_id hall, incarnation started);

    /// Runs one tick, every 250 ms.
    /// @param own this host's loads and demand
    /// @param peers hosts in contact, this one excluded
    /// @return the datagrams to send
    [[nodiscard]] std::vector<load_datagram>
    tick(const shared_loads& own, const std::vector<load_peer>& peers,
         absl::Time now);

    /// Processes a datagram.
    /// @return the datagrams that forward it to other hosts of the hall
    [[nodiscard]] std::vector<load_datagram> receive(std::string_view bytes,
                                                     absl::Time now);

    /// @return the loads and demand of all other hosts, or nothing if no table
    /// was received in the last second
    [[nodiscard]] std::optional<shared_loads> others(absl::Time now) const;

    /// @return when the table that `others` returns was received
    [[nodiscard]] absl::Time received_at(absl::Time now) const;

private:
    struct received_message
    {
        load_message message;
        absl::Time received_at;
    };

    struct own_report
    {
        load_message message;
        absl::Time sent_at;
    };

    /// The newest message of each host. A message stays for a while after its
    /// contents have expired, so that older ones are still rejected.
    using messages_by_host = std::map<host_id, received_message>;

    void update_view(const std::vector<load_peer>& peers);
    void update_readiness(absl::Time now);
    [[nodiscard]] bool has_heard_all() const;
    void report_to_aggregators(const shared_loads& own, absl::Time now,
                               std::vector<load_datagram>& out);
    void distribute(const shared_loads& own, absl::Time now,
                    std::vector<load_datagram>& out);
    [[nodiscard]] bool is_table_due(absl::Time now) const;
    void send_to_other_halls(load_message sum,
                             std::vector<load_datagram>& out) const;
    void relay(const host_id& root, std::string_view bytes,
               std::vector<load_datagram>& out) const;
    [[nodiscard]] bool is_aggregator(const host_id& host) const;
    [[nodiscard]] load_message sum_of_hall(const shared_loads& own,
                                           absl::Time now);
    void add_other_halls(shared_loads& sum, absl::Time now) const;
    [[nodiscard]] bool has_own_table(absl::Time now) const;
    [[nodiscard]] const received_message* newest_table(absl::Time now) const;
    [[nodiscard]] const own_report* find_own(const load_message& table) const;
    [[nodiscard]] load_message make_message(load_scope scope);
    static bool replace_older(messages_by_host& known, load_message message,
                              absl::Time now);

    host_id m_self;
    hall_id m_hall;
    incarnation m_started;
    std::int64_t m_sequence = 0;
    std::vector<host_id> m_hall_peers; ///< in contact, without this host
    /// The aggregators of each hall, highest rank first.
    std::map<hall_id, std::vector<host_id>> m_aggregators;
    std::deque<own_report> m_own_reports; ///< the newest last
    std::vector<host_id> m_reported_to;
    absl::Time m_ticked_at = absl::InfinitePast();
    /// Since when this host is an aggregator without interruption.
    absl::Time m_aggregator_since = absl::InfiniteFuture();
    bool m_is_ready = false; ///< to distribute sums
    /// Whether messages may date from before a suspension of this host.
    bool m_has_old_messages = false;
    absl::Time m_distributed_at = absl::InfinitePast();
    absl::Duration m_interval = absl::ZeroDuration(); ///< between two tables
    messages_by_host m_reports; ///< of the hosts of the hall
    messages_by_host m_halls;   ///< sums, by the aggregators of other halls
    messages_by_host m_tables;  ///< sums of all halls, by their aggregators
    /// Sum of all other hosts, if this host is an aggregator.
    std::optional<shared_loads> m_own_table;
    absl::Time m_own_table_at = absl::InfinitePast();
};

} // namespace daleshelf
