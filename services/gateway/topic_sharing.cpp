#include "topic_sharing.hpp"

#include "http_call.hpp"

#include <base/http_status.hpp>
#include <base/text.hpp>
#include <charconv>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// Records are sent in parts of about this size; compressed, a part is 3 KB, or
// two packets.
constexpr std::size_t max_part_size = 32768;
// A larger encoded part does not fit a datagram, and followers read it from the
// store.
constexpr std::size_t max_encoded_size = 57344;
// A host that has not read the list of hosts after this time continues without
// it; a host that is new in the list has read it after 1.6 s.
constexpr absl::Duration max_start_time = absl::Milliseconds(2500);
// A host that could not read any list of hosts waits longer: while a whole
// fleet starts, the store is slow, and calls of all hosts for records make it
// slower.
constexpr absl::Duration max_list_time = absl::Seconds(8);
// Records are sent at 20 Mbit/s, the bandwidth of a small host's link: faster
// ones are lost, and the hosts call the store instead.
constexpr std::size_t burst_bytes = 65536;
constexpr milliseconds burst_pause{25};
constexpr milliseconds fetch_timeout{1000};
constexpr milliseconds catch_up_timeout{1500};
constexpr milliseconds catch_up_pause{150};
// The list of hosts is read within a few milliseconds, and a restarted host
// waits for it.
constexpr milliseconds fleet_list_pause{25};
// A full copy of 10,000 upstreams has 2 MB.
constexpr std::size_t max_copy_bytes = 33554432;
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

/// Records that a peer requests.
struct wanted_records
{
    std::string topic;
    log_offset from; ///< 0: a full copy
};

// @return what the target `/records/TOPIC` or `/records/TOPIC/OFFSET` names
std::optional<wanted_records> parse_target(std::string_view target)
{
    if (!target.starts_with(records_target))
    {
        return std::nullopt;
    }
    target.remove_prefix(records_target.size());
    const auto separator = target.find('/');
    wanted_records wanted{std::string(target.substr(0, separator)), {}};
    if (separator == std::string_view::npos)
    {
        return wanted;
    }
    target.remove_prefix(separator + 1);
    std::int64_t offset = 0;
    const auto* end = target.data() + target.size();
    const auto parsed = std::from_chars(target.data(), end, offset);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    wanted.from = log_offset(offset);
    return wanted;
}

// @return the records from the wanted offset on, or a full copy if they are no
// longer kept one by one
shared_records records_for(const wanted_records& wanted,
                           const topic_follower& follower)
{
    shared_records shared;
    shared.topic = wanted.topic;
    shared.next = follower.next();
    const auto newest = wanted.from == log_offset(0)
                            ? std::nullopt
                            : follower.records_since(wanted.from);
    if (newest)
    {
        shared.from = wanted.from;
        shared.records = to_shared(*newest);
        return shared;
    }
    for (const auto& [key, record] : follower.records())
    {
        shared.records.push_back(to_shared(record));
    }
    return shared;
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
        !m_state.knows_hosts &&
        now - m_first_chosen_at <
            (m_state.has_listed_hosts ? max_start_time : max_list_time);
    if (is_starting || m_table.sends_to_all_peers())
    {
        m_state.role = is_starting ? list_role::starting : list_role::alone;
        return;
    }
    const bool reaches_store = m_topics.configuration.is_store_reachable();
    auto readers =
        m_table.readers_of(m_state.hall, reaches_store, m_readers, now);
    const bool is_reader = std::erase(readers, m_state.self) > 0;
    m_readers.update(readers, now);
    m_state.role = is_reader ? list_role::reader : list_role::follower;
    m_state.store_fallback_delay = absl::ToChronoMilliseconds(
        store_fallback_delay(m_table.reader_position()));
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
    for (auto& part : parts)
    {
        const bool is_relayed = !part.records.empty();
        part.root = m_state.self;
        const auto bytes = encode(part);
        if (bytes.size() > max_encoded_size)
        {
            // The next part or announcement shows followers the gap.
            continue;
        }
        for (const auto& address :
             is_relayed ? relay_addresses(part.root) : addresses_in_hall())
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
    for (const auto& host : m_table.hosts_of_hall())
    {
        addresses.push_back(m_table.peers().at(host).address);
    }
    return addresses;
}

std::vector<std::string>
topic_sharing::relay_addresses(const host_id& root) const
{
    std::vector<std::string> addresses;
    for (const auto& host :
         relay_children(root, m_state.self, m_table.hosts_of_hall()))
    {
        addresses.push_back(m_table.peers().at(host).address);
    }
    return addresses;
}

// @return address of the host to fetch the first list from; empty if no other
// host of the hall is known
std::string topic_sharing::catch_up_address() const
{
    const auto hosts = m_table.hosts_by_reader_rank();
    if (hosts.empty())
    {
        return {};
    }
    const auto position =
        catch_up_source(hosts.size(), absl::Uniform(m_state.random, 0.0, 1.0));
    return m_table.peers().at(hosts[position]).address;
}

// Forwards a part to the next hosts of its root's tree. What a reader sends
// does not grow with the hosts of its hall.
void topic_sharing::relay(const shared_records& read, std::string_view bytes)
{
    const bool is_relayed = !read.root.empty() && !read.records.empty();
    if (!is_relayed ||
        !m_relay_filter.accept({read.topic, read.root}, read.from))
    {
        return;
    }
    for (const auto& address : relay_addresses(read.root))
    {
        m_send(address, std::string(bytes));
    }
}

void topic_sharing::receive_records(const shared_records& read,
                                    std::string_view bytes)
{
    if (!read.root.empty())
    {
        m_readers.record_report(read.root, gateway_state::now());
    }
    relay(read, bytes);
    auto* follower = find_topic(read.topic);
    if (follower == nullptr)
    {
        return;
    }
    follower->apply_shared_records(read.from, from_shared(read.records),
                                   monotonic::now());
}

awaitable<bool> topic_sharing::fetch_from(std::string address,
                                          std::string topic,
                                          milliseconds timeout)
{
    auto* follower = find_topic(topic);
    if (follower == nullptr)
    {
        co_return false;
    }
    auto target = concat(records_target, topic);
    if (follower->has_listed())
    {
        append_text(target, "/", follower->next().value());
    }
    http_caller caller(m_state.context, address, max_copy_bytes);
    // NOTE: a temporary as an argument of a coroutine is destroyed twice by
    // GCC 12.
    platform::store_call call{"GET", target, "", ""};
    const auto response = co_await caller.call(std::move(call), timeout);
    if (!response || response->status != http_status::ok)
    {
        co_return false;
    }
    const auto shared = decode_shared_records(response->body);
    if (!shared)
    {
        co_return false;
    }
    const auto records = from_shared(shared->records);
    const bool is_full_copy = shared->from == log_offset(0);
    const auto new_records = is_full_copy
                                 ? follower->merge(records, shared->next)
                                 : follower->append(shared->from, records);
    log(events::records_from_peer, {{"topic", topic},
                                    {"peer", address},
                                    {"news", std::to_string(new_records)}});
    co_return true;
}

awaitable<void> topic_sharing::fetch_missing(std::string address,
                                             std::string topic)
{
    (void)co_await fetch_from(std::move(address), std::move(topic),
                              fetch_timeout);
    m_is_fetching = false;
}

awaitable<bool> topic_sharing::catch_up(std::string topic)
{
    const auto* follower = find_topic(topic);
    const auto started_at = gateway_state::now();
    boot_timer timer(m_state.context);
    while (!follower->has_listed() || follower->has_gap())
    {
        const catching_up_host host{m_state.has_listed_hosts,
                                    m_table.sends_to_all_peers(),
                                    m_table.reader_position()};
        const auto step =
            next_catch_up_step(host, gateway_state::now() - started_at);
        if (step == catch_up_step::read_from_store)
        {
            co_return false;
        }
        bool is_fetched = false;
        if (step == catch_up_step::fetch_from_peer)
        {
            is_fetched = co_await fetch_from(catch_up_address(), topic,
                                             catch_up_timeout);
        }
        if (!is_fetched || follower->has_gap())
        {
            timer.expires_after(step == catch_up_step::wait ? fleet_list_pause
                                                            : catch_up_pause);
            co_await timer.async_wait(use_result);
        }
    }
    co_return true;
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
        { return fetch_missing(address, wanted); },
        asio::detached);
}

simple_response topic_sharing::respond(const std::string& target)
{
    const auto wanted = parse_target(target);
    const auto* follower = wanted ? find_topic(wanted->topic) : nullptr;
    if (follower == nullptr || !follower->has_listed())
    {
        return {http_status::not_found, "", "text/plain"};
    }
    auto bytes = encode(records_for(*wanted, *follower));
    if (!m_transfer_limit.accept(bytes.size(), gateway_state::now()))
    {
        return {http_status::unavailable, "", "text/plain"};
    }
    return {http_status::ok, std::move(bytes), "application/octet-stream"};
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
