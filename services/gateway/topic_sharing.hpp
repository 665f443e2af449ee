/// @file
/// Records of the store that gateways hand to one another.
#pragma once

#include "gateway_state.hpp"
#include "simple_http_server.hpp"
#include "topic_follower.hpp"

#include <functional>
#include <peers/fetch_delay.hpp>
#include <peers/peer_table.hpp>
#include <peers/topic_records.hpp>

namespace daleshelf
{

/// The topics that a gateway hands to peers which the store turns away.
struct followed_topics
{
    topic_follower& configuration;
    topic_follower& servers;
};

/// Hands records on: two machines of a hall read the list of servers for the
/// others, and what the store does not give is fetched from a peer that has it.
class topic_sharing
{
public:
    using sender = std::function<void(const std::string& address,
                                      const std::string& bytes)>;

    topic_sharing(gateway_state& state, followed_topics topics,
                  const peer_table& table, sender send);

    /// Finds whether this machine reads the list for its hall.
    void choose_role();

    /// Tells the machines of this hall what has just been read from the store.
    void tell_read(const std::string& topic, log_offset from,
                   const std::vector<platform::keyed_record>& records);

    /// Takes what a reader of this hall has told.
    void take_read(const shared_records& read);

    /// Fetches what a peer has known for a while and the store has not told.
    void fetch_news();

    /// @return the records of the topic that a peer asks for
    [[nodiscard]] simple_response answer(const std::string& target);

private:
    /// How long a peer may know a record before it is asked for it: the store
    /// and the readers are faster.
    static constexpr absl::Duration patience = absl::Milliseconds(350);

    void tell_nothing_newer();
    awaitable<void> tell_parts(std::vector<shared_records> parts);
    [[nodiscard]] std::vector<std::string> addresses_in_hall() const;
    awaitable<void> fetch_from(std::string address, std::string topic);
    [[nodiscard]] topic_follower* topic_named(const std::string& name);

    gateway_state& m_state;
    followed_topics m_topics;
    const peer_table& m_table;
    sender m_send;
    fetch_delay m_patience{patience};
    absl::Time m_first_chosen_at = absl::InfiniteFuture();
    int m_tellings = 0; ///< that are on their way
    bool m_is_fetching = false;
    bool m_tells_of_servers = false; ///< last; else of the configuration
};

} // namespace daleshelf
