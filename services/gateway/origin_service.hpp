/// @file
/// Finds out which software version began a stream.
#pragma once

#include "async_event.hpp"
#include "known_server_list.hpp"

#include <absl/time/time.h>

#include <algorithm>
#include <functional>
#include <ingress/server_directory.hpp>
#include <map>
#include <memory>
#include <optional>
#include <streams/origin_batch.hpp>
#include <streams/origin_keepers.hpp>
#include <streams/origin_message.hpp>
#include <streams/origin_store.hpp>
#include <streams/version_history.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf
{

/// The other hosts, as far as this service needs them.
struct origin_peers
{
    /// Returns all known hosts, with this one.
    std::function<std::vector<keeper_candidate>()> candidates;
    std::function<void(const host_id& to, const std::string& bytes)> send;
    /// Returns whether all changes of the list of upstreams that were written
    /// before the call are known.
    std::function<awaitable<bool>()> confirm_server_list;
    /// Returns how much of the list of upstreams this host knows.
    std::function<known_server_list()> server_list;
};

/// How the origin of a stream became known, for the log.
enum class origin_source
{
    own,     ///< the stream began at this host, or this host is its keeper
    keeper,  ///< a keeper replied
    log,     ///< it was read from the platform's log
    sole,    ///< the service has had no other version for long enough
    unknown, ///< none of these
};

/// @return the name of the source in the log
[[nodiscard]] std::string_view name_of(origin_source source);

/// The origin of a stream that is to be resumed.
struct found_origin
{
    stream_origin origin;
    origin_source source = origin_source::unknown;
    known_server_list list; ///< by which it was decided
    bool is_list_confirmed = false;
    std::size_t replies = 0; ///< of keepers and peers until then
};

/// A stream that is to be resumed.
struct origin_query
{
    /// The client's attempt that began it; empty: the client did not name it.
    request_id begun_by;
    request_id resumed_by; ///< the present attempt
    service_name service;  ///< that the route leads to
    absl::Duration span;   ///< age that the stream may have at least
};

/// Reports the origins of streams that begin at this host to their keepers, and
/// asks them, then the platform's log, for the origins of streams that are to
/// be resumed here. The steps are those of docs/design/streams.md. Runs on the
/// gateway's event loop.
class origin_service
{
public:
    /// @param context event loop
    /// @param self this host
    /// @param hall its hall
    /// @param servers the listed upstreams; must outlive this object
    /// @param is_first_start whether the whole fleet starts for the first time
    origin_service(asio::io_context& context, host_id self, hall_id hall,
                   const server_directory& servers, bool is_first_start);

    /// Sets the access to peers; without it, this host is alone.
    void set_peers(origin_peers peers)
    {
        m_peers = std::move(peers);
    }

    /// Sets the function that reads the origins in the platform's log, and
    /// passes them to `keep`.
    void set_log_reader(std::function<awaitable<void>()> read_log)
    {
        m_read_log = std::move(read_log);
    }

    /// Keeps origins that other hosts have recorded.
    void keep(const std::vector<timed_origin>& origins);

    /// @return origins of streams that began here, to be written to the log
    [[nodiscard]] origin_batch& unwritten()
    {
        return m_unwritten;
    }

    /// @return whether a service has had several software versions in the time
    /// for which streams can be resumed
    [[nodiscard]] bool has_several_versions() const
    {
        return m_versions.has_several();
    }

    /// Keeps the origin of a stream that begins here, and reports it to the
    /// keepers.
    /// @param keep_time for which the client may resume the stream
    void record(const stream_origin& origin, absl::Duration keep_time);

    /// Finds the version that began a stream.
    /// @return the origin; its source is `unknown` if no version is certain
    awaitable<found_origin> find(origin_query query);

    /// Records the time for which a client waits for a stream and all attempts
    /// to resume it: a stream may be as old as the longest one.
    void observe_wait(absl::Duration wait)
    {
        m_longest_wait = std::clamp(wait, m_longest_wait, max_resumable_time);
    }

    /// Records the versions that are listed now.
    void observe_versions();

    /// Records that a complete list was read in place of its changes: versions
    /// that were listed before may have been missed.
    /// @param next offset up to which the list is known
    void record_list(log_offset next);

    /// Records that the hosts of the fleet are known. Until then, no version is
    /// derived: `is_first_start` holds only if no earlier incarnation of this
    /// host was listed.
    void record_discovery(bool was_listed);

    /// Handles a datagram of a peer.
    /// @return the encoded reply to the sender; empty: none
    [[nodiscard]] std::string receive(std::string_view bytes);

    /// Sends a host that has started the origins that it should keep.
    void send_kept(const keeper_candidate& started);

    /// @return number of origins kept
    [[nodiscard]] std::size_t size() const
    {
        return m_origins.size();
    }

private:
    /// A question to keepers.
    struct pending_question
    {
        explicit pending_question(const asio::any_io_executor& executor)
            : replied(executor)
        {
        }

        async_event replied;
        std::size_t unanswered = 0;
        std::size_t replies = 0;
        std::optional<stream_origin> origin;
        std::optional<version_name> sole_version;
        bool is_contradictory = false; ///< replies name different versions
    };

    awaitable<void> search(const origin_query& query, found_origin& found);
    awaitable<std::shared_ptr<pending_question>>
    ask_keepers(origin_query query);
    [[nodiscard]] std::vector<host_id>
    other_keepers(const request_id& attempt) const;
    [[nodiscard]] std::vector<host_id>
    hosts_to_ask(const origin_query& query) const;
    [[nodiscard]] std::optional<version_name>
    sole_version(const service_name& service, absl::Duration span) const;
    [[nodiscard]] std::optional<version_name>
    reported_version(const pending_question& question,
                     const service_name& service, absl::Duration span) const;
    awaitable<bool> confirm_server_list() const;
    [[nodiscard]] std::string reply_to(const origin_message& question) const;
    void handle_reply(const origin_message& reply);

    asio::io_context& m_context;
    host_id m_self;
    hall_id m_hall;
    const server_directory& m_servers;
    origin_peers m_peers;
    origin_store m_origins;
    origin_batch m_unwritten;
    std::function<awaitable<void>()> m_read_log;
    version_history m_versions;
    /// Offset of the list from which on all changes were observed.
    std::optional<log_offset> m_observed_from;
    bool m_knows_hosts = false;
    absl::Duration m_longest_wait = absl::ZeroDuration();
    std::int64_t m_last_question = 0;
    std::map<std::int64_t, std::shared_ptr<pending_question>> m_pending;
};

} // namespace daleshelf
