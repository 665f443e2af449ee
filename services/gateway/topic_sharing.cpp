#include "topic_sharing.hpp"

#include "http_call.hpp"

#include <base/http_status.hpp>
#include <base/text.hpp>
#include <telemetry/log.hpp>

namespace daleshelf
{

namespace
{

// Larger news are left to the store.
constexpr std::size_t largest_news = 8192;
// How long a peer may know more before it is asked: the store is faster.
constexpr milliseconds patience{350};
constexpr milliseconds fetch_time{1000};
constexpr std::string_view records_target = "/records/";

shared_record to_shared(const platform::keyed_record& record)
{
    return {record.offset, record.key, record.value.value_or("")};
}

// A record without a value says that its key is dropped.
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
    if (m_table.tells_all_at_once())
    {
        m_state.role = list_role::alone;
        return;
    }
    m_state.role = list_role::follower;
    const bool reaches_store = m_topics.configuration.is_reached();
    for (const auto& reader :
         m_table.readers_of(m_state.hall, reaches_store, gateway_state::now()))
    {
        if (reader == m_state.self)
        {
            m_state.role = list_role::reader;
        }
    }
    if (m_topics.servers.is_fresh())
    {
        // Says that there is nothing newer.
        tell_read(std::string(platform::server_topic), m_topics.servers.next(),
                  {});
    }
}

void topic_sharing::tell_read(
    const std::string& topic, log_offset from,
    const std::vector<platform::keyed_record>& records)
{
    if (m_state.role != list_role::reader)
    {
        return;
    }
    shared_records read;
    read.topic = topic;
    read.from = from;
    read.next = records.empty() ? from : records.back().offset.next();
    for (const auto& record : records)
    {
        read.records.push_back(to_shared(record));
    }
    const auto bytes = encode(read);
    if (bytes.size() > largest_news)
    {
        return;
    }
    for (const auto& [name, peer] : m_table.peers())
    {
        if (peer.state.hall != m_state.hall)
        {
            continue;
        }
        m_send(peer.address, bytes);
    }
}

void topic_sharing::take_read(const shared_records& read)
{
    auto* follower = topic_named(read.topic);
    if (follower == nullptr)
    {
        return;
    }
    follower->take_read(read.from, from_shared(read.records));
}

awaitable<void> topic_sharing::fetch_from(std::string address,
                                          std::string topic)
{
    http_caller caller(m_state.context, address);
    platform::store_call call{"GET", concat(records_target, topic), "", ""};
    const auto answer = co_await caller.call(std::move(call), fetch_time);
    m_is_fetching = false;
    if (!answer || answer->status != http_status::ok)
    {
        co_return;
    }
    const auto shared = decode_shared_records(answer->body);
    auto* follower = topic_named(topic);
    if (!shared || follower == nullptr)
    {
        co_return;
    }
    const auto news =
        follower->merge(from_shared(shared->records), shared->next);
    log(events::records_from_peer,
        {{"topic", topic}, {"peer", address}, {"news", std::to_string(news)}});
}

// Fetches what a peer has known for a while and the store has not told.
void topic_sharing::fetch_news()
{
    const auto now = gateway_state::now();
    std::string best_address;
    std::string wanted;
    for (const auto& [name, peer] : m_table.peers())
    {
        if (!m_table.is_in_reach(name, now))
        {
            continue;
        }
        if (peer.state.servers_offset > m_topics.servers.next())
        {
            best_address = peer.address;
            wanted = platform::server_topic;
        }
        const auto own_version =
            m_state.routes ? m_state.routes->configuration().version : 0;
        if (peer.state.configuration_version > own_version)
        {
            best_address = peer.address;
            wanted = platform::operator_topic;
            break;
        }
    }
    if (wanted.empty())
    {
        m_behind_since.clear();
        return;
    }
    const auto since =
        m_behind_since.try_emplace(wanted, monotonic::now()).first->second;
    if (m_is_fetching || monotonic::now() - since < patience)
    {
        return;
    }
    m_is_fetching = true;
    m_behind_since.erase(wanted);
    asio::co_spawn(
        m_state.context,
        [this, best_address, wanted]
        { return fetch_from(best_address, wanted); },
        asio::detached);
}

short_answer topic_sharing::answer(const std::string& target)
{
    if (!target.starts_with(records_target))
    {
        return {http_status::not_found, "", "text/plain"};
    }
    const auto name = target.substr(records_target.size());
    const auto* follower = topic_named(name);
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

topic_follower* topic_sharing::topic_named(const std::string& name)
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
