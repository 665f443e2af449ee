#include "topic_sharing.hpp"

#include "http_call.hpp"

#include <base/http_status.hpp>
#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// Records are sent in parts of about this size; compressed, a part is 3 KB, or
// two packets.
constexpr std::size_t max_part_size = 32768;
// A larger encoded part is not sent, and followers read it from the store: sent
// to the 57 hosts of a hall, it would fill a link of 20 Mbit/s for longer than
// the store takes to serve them all.
constexpr std::size_t max_encoded_size = 16384;
// A host that has not read the list of hosts after this time continues without
// it; a host that is new in the list has read it after 1.6 s.
constexpr absl::Duration max_start_time = absl::Milliseconds(2500);
// Records are sent at 20 Mbit/s, the bandwidth of a small host's link. Without
// this limit, 0.7 MB sent to 57 hosts at once does not arrive, and 285 hosts
// call the store instead.
constexpr std::size_t burst_bytes = 65536;
constexpr milliseconds burst_pause{25};
constexpr milliseconds fetch_timeout{1000};
constexpr std::string_view records_target = "/records/";

shared_record to_shared(const platform::keyed_record& record)
{
    return {record.offset, record.key, record.value.value_or("")};
}

std::vector<shared_record>
to_shared(const std::vector<platform::keyed_record>& records)
{
    std::vector<shared_record> shared;
    shared.reserve(records.size());
    for (const auto& record : records)
    {
        shared.push_back(to_shared(record));
    }
    return shared;
}

// An empty value marks a deleted key.
std::vector<platform::keyed_record>
from_shared(const std::vector<shared_record>& records)
{
    std::vector<platform::keyed_record> read;
    for (const auto& record : records)
    {
        read.push_back({record.offset, record.key, record.value});
        if (record.value.empty())
        {
            read.back().value.reset();
        }
    }
    return read;
}

} // namespace

topic_sharing::topic_sharing(gateway_state& state, followed_topics topics,
                             const peer_table& table, sender send)
    : m_state(state), m_topics(topics), m_table(table), m_send(std::move(send))
{
}

void topic_sharing::choose_role()
{
    const auto now = gateway_state::now();
    m_first_chosen_at = std::min(m_first_chosen_at, now);
    const bool is_starting =
        !m_state.knows_hosts && now - m_first_chosen_at < max_start_time;
    if (is_starting || m_table.sends_to_all_peers())
    {
        m_state.role = is_starting ? list_role::starting : list_role::alone;
        return;
    }
    m_state.role = list_role::follower;
    const bool reaches_store = m_topics.configuration.is_store_reachable();
    for (const auto& reader :
         m_table.readers_of(m_state.hall, reaches_store, now))
    {
        if (reader == m_state.self)
        {
            m_state.role = list_role::reader;
        }
    }
    announce_end();
}

// Announces that there are no newer records, of one topic at a time: each of
// two readers announces each topic twice a second.
void topic_sharing::announce_end()
{
    m_announces_servers = !m_announces_servers;
    const auto& follower =
        m_announces_servers ? m_topics.servers : m_topics.configuration;
    const auto topic =
        m_announces_servers ? platform::server_topic : platform::operator_topic;
    // The end is not announced while newer records are still being sent: it
    // would look like a gap.
    if (follower.is_fresh() && m_pending_sends == 0)
    {
        share_records(std::string(topic), follower.next(), {});
    }
}

void topic_sharing::share_records(
    const std::string& topic, log_offset from,
    const std::vector<platform::keyed_record>& records)
{
    if (m_state.role != list_role::reader)
    {
        return;
    }
    auto parts = split_records(topic, from, to_shared(records), max_part_size);
    asio::co_spawn(
        m_state.context,
        [this, parts = std::move(parts)]() mutable
        { return send_parts(std::move(parts)); },
        asio::detached);
}

awaitable<void> topic_sharing::send_parts(std::vector<shared_records> parts)
{
    ++m_pending_sends;
    std::size_t sent_bytes = 0;
    for (const auto& part : parts)
    {
        const auto bytes = encode(part);
        if (bytes.size() > max_encoded_size)
        {
            // The next part or announcement shows followers the gap.
            continue;
        }
        for (const auto& address : addresses_in_hall())
        {
            m_send(address, bytes);
            sent_bytes += bytes.size();
            if (sent_bytes >= burst_bytes)
            {
                sent_bytes = 0;
                boot_timer timer(m_state.context, burst_pause);
                co_await timer.async_wait(use_result);
            }
        }
    }
    --m_pending_sends;
}

std::vector<std::string> topic_sharing::addresses_in_hall() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, peer] : m_table.peers())
    {
        if (peer.state.hall == m_state.hall)
        {
            addresses.push_back(peer.address);
        }
    }
    return addresses;
}

void topic_sharing::receive_records(const shared_records& read)
{
    auto* follower = find_topic(read.topic);
    if (follower == nullptr)
    {
        return;
    }
    follower->apply_shared_records(read.from, from_shared(read.records),
                                   monotonic::now());
}

awaitable<void> topic_sharing::fetch_from(std::string address,
                                          std::string topic)
{
    http_caller caller(m_state.context, address);
    platform::store_call call{"GET", concat(records_target, topic), "", ""};
    const auto response = co_await caller.call(std::move(call), fetch_timeout);
    m_is_fetching = false;
    if (!response || response->status != http_status::ok)
    {
        co_return;
    }
    const auto shared = decode_shared_records(response->body);
    auto* follower = find_topic(topic);
    if (!shared || follower == nullptr)
    {
        co_return;
    }
    const auto new_records =
        follower->merge(from_shared(shared->records), shared->next);
    log(events::records_from_peer, {{"topic", topic},
                                    {"peer", address},
                                    {"news", std::to_string(new_records)}});
}

// Fetches records that a peer has known for a while and that have not been
// received from the store.
void topic_sharing::fetch_newer_records()
{
    const topic_positions own{
        m_state.routes ? m_state.routes->configuration().version : 0,
        m_topics.servers.next()};
    const auto now = gateway_state::now();
    const auto source = m_table.source_of_newer_records(own, now);
    if (m_is_fetching || !m_fetch_delay.has_elapsed(own, source, now))
    {
        return;
    }
    const std::string wanted(source->topic == shared_topic::configuration
                                 ? platform::operator_topic
                                 : platform::server_topic);
    m_is_fetching = true;
    asio::co_spawn(
        m_state.context,
        [this, address = source->address, wanted]
        { return fetch_from(address, wanted); },
        asio::detached);
}

simple_response topic_sharing::respond(const std::string& target)
{
    if (!target.starts_with(records_target))
    {
        return {http_status::not_found, "", "text/plain"};
    }
    const auto name = target.substr(records_target.size());
    const auto* follower = find_topic(name);
    if (follower == nullptr)
    {
        return {http_status::not_found, "", "text/plain"};
    }
    shared_records shared;
    shared.topic = name;
    shared.next = follower->next();
    for (const auto& [key, record] : follower->records())
    {
        shared.records.push_back(to_shared(record));
    }
    return {http_status::ok, encode(shared), "application/octet-stream"};
}

topic_follower* topic_sharing::find_topic(const std::string& name)
{
    if (name == platform::operator_topic)
    {
        return &m_topics.configuration;
    }
    if (name == platform::server_topic)
    {
        return &m_topics.servers;
    }
    return nullptr;
}

} // namespace daleshelf
