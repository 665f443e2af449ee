/// @file
/// Exchange of the store's records between gateways.
#pragma once

#include "gateway_state.hpp"
#include "simple_http_server.hpp"
#include "topic_follower.hpp"

#include <functional>
#include <peers/catch_up.hpp>
#include <peers/fetch_delay.hpp>
#include <peers/peer_table.hpp>
#include <peers/relay_tree.hpp>
#include <peers/topic_records.hpp>
#include <string_view>

namespace daleshelf
{

/// The topics that a gateway serves to peers which cannot read the store.
struct followed_topics
{
    topic_follower& configuration;
    topic_follower& servers;
};

/// Shares records of the store: two hosts of a hall read its topics for the
/// other hosts, and records that the store does not return are fetched from a
/// peer that has them.
class topic_sharing
{
public:
    using sender = std::function<void(const std::string& address,
                                      const std::string& bytes)>;

    topic_sharing(gateway_state& state, followed_topics topics,
                  const peer_table& table, sender send);

    /// Determines whether this host reads the store for its hall, and announces
    /// the end of a topic if it does.
    void choose_role();

    /// Sends records that were just read from the store to the hosts of this
    /// hall, if this host is a reader.
    /// @param topic name of the topic
    /// @param from offset of the first record
    /// @param records consecutive records; empty announces that there are none
    /// from `from` on
    void share_records(const std::string& topic, log_offset from,
                       const std::vector<platform::keyed_record>& records);

    /// Applies records that a reader of this hall has sent, and forwards them.
    /// @param bytes the datagram with the records
    void receive_records(const shared_records& read, std::string_view bytes);

    /// Fetches the records of a topic that this host lacks from hosts of this
    /// hall: all when the process starts, later those that readers announced.
    /// @return whether nothing is missing any more; otherwise the store is to
    /// be called
    awaitable<bool> catch_up(std::string topic);

    /// Fetches records that a peer has known for a while and that have not been
    /// received from the store.
    void fetch_newer_records();

    /// @param target target of a peer's request, with the name of a topic and
    /// optionally the offset from which on its records are wanted
    /// @return the response: the records, or all that are known, status 404, or
    /// status 503 while other responses occupy the link
    [[nodiscard]] simple_response respond(const std::string& target);

private:
    /// How long a peer must have known newer records before they are fetched
    /// from it: the store and the readers are normally faster.
    static constexpr absl::Duration peer_fetch_delay = absl::Milliseconds(350);

    void announce_end();
    awaitable<void> send_parts(std::vector<shared_records> parts);
    void relay(const shared_records& read, std::string_view bytes);
    [[nodiscard]] std::vector<std::string> addresses_in_hall() const;
    [[nodiscard]] std::vector<std::string>
    relay_addresses(const host_id& root) const;
    [[nodiscard]] std::string catch_up_address() const;
    awaitable<bool> fetch_from(std::string address, std::string topic,
                               milliseconds timeout);
    awaitable<void> fetch_missing(std::string address, std::string topic);
    [[nodiscard]] topic_follower* find_topic(const std::string& name);

    gateway_state& m_state;
    followed_topics m_topics;
    const peer_table& m_table;
    sender m_send;
    fetch_delay m_fetch_delay{peer_fetch_delay};
    relay_filter m_relay_filter;
    reader_monitor m_readers;
    transfer_limit m_transfer_limit;
    absl::Time m_first_chosen_at = absl::InfiniteFuture();
    int m_pending_sends = 0; ///< calls of `send_parts` in progress
    bool m_is_fetching = false;
    bool m_announces_servers = false; ///< last; else the configuration
};

} // namespace daleshelf
