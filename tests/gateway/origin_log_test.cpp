// Guards against a fleet whose hosts were all killed at once, and which then
// rejects every stream that its clients resume, since no host knows any more
// which software version began them.
#include "gateway_fixture.hpp"

#include <gtest/gtest.h>

#include <base/text.hpp>
#include <gateway/origin_log.hpp>
#include <streams/origin_message.hpp>

namespace daleshelf
{
namespace
{

const service_name engines("engines");
const version_name version("v1");
const version_name other_version("v2");
constexpr absl::Duration keep_time = absl::Seconds(15);

/// One partition of the platform's log.
class log_partition
{
public:
    std::atomic<int> append_status = 200; ///< of responses to appends
    std::atomic<int> appends = 0;
    std::atomic<int> reads = 0;
    std::atomic<bool> is_silent = false;

    scripted_server::script serve()
    {
        return [this](test_connection& connection)
        {
            while (true)
            {
                const auto request = connection.read_message();
                if (request.empty())
                {
                    return;
                }
                if (is_silent)
                {
                    connection.read_all();
                    return;
                }
                connection.send(respond(request));
            }
        };
    }

    /// Appends a record of any content.
    void append(const std::string& record)
    {
        const std::lock_guard lock(m_mutex);
        m_records.push_back(record);
    }

    [[nodiscard]] std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_records.size();
    }

    /// Loses everything.
    void wipe()
    {
        const std::lock_guard lock(m_mutex);
        m_records.clear();
        m_first = 0;
    }

    /// Removes the oldest records.
    void trim(std::size_t count)
    {
        const std::lock_guard lock(m_mutex);
        m_first += count;
    }

private:
    static std::string big_endian(std::uint64_t value, int bytes)
    {
        std::string out;
        for (int index = bytes - 1; index >= 0; --index)
        {
            out += static_cast<char>(value >> (8 * index));
        }
        return out;
    }

    static std::string message(int status, const std::string& body)
    {
        return concat("HTTP/1.1 ", status,
                      " Any\r\nContent-Length: ", body.size(), "\r\n\r\n",
                      body);
    }

    std::string respond(const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        if (request.starts_with("POST "))
        {
            ++appends;
            return keep(request);
        }
        ++reads;
        constexpr std::string_view name = "from=";
        const auto from =
            std::stoul(request.substr(request.find(name) + name.size()));
        if (from < m_first)
        {
            return message(410, concat("{\"first\":", m_first, "}"));
        }
        // One record a page, so that more pages have to be read.
        auto body = big_endian(m_records.size(), 8) + big_endian(m_first, 8);
        if (from < m_records.size())
        {
            body += big_endian(m_records[from].size(), 4) + m_records[from];
        }
        return message(200, body);
    }

    std::string keep(const std::string& request)
    {
        if (append_status != 200)
        {
            return message(append_status, "");
        }
        const auto offset = m_records.size();
        auto body = request.substr(request.find("\r\n\r\n") + 4);
        while (!body.empty())
        {
            std::size_t size = 0;
            for (int index = 0; index < 4; ++index)
            {
                size = size * 256 + static_cast<unsigned char>(body[index]);
            }
            m_records.push_back(body.substr(4, size));
            body.erase(0, 4 + size);
        }
        return message(200, concat("{\"offset\":", offset,
                                   ",\"end\":", m_records.size(), "}"));
    }

    std::mutex m_mutex;
    std::vector<std::string> m_records;
    std::size_t m_first = 0;
};

/// The parts of a gateway that know the origins of streams. No other host is
/// there.
class lone_host
{
public:
    explicit lone_host(const std::string& store)
        : m_state(m_context, make_settings(store)), m_log(m_state)
    {
        m_log.start();
        list("a", version);
    }

    void list(const std::string& id, const version_name& listed)
    {
        server_entry entry;
        entry.id = upstream_id(id);
        entry.service = engines;
        entry.version = listed;
        m_state.servers.set(entry);
        m_state.origins.observe_versions();
    }

    void begin_stream(const std::string& attempt)
    {
        m_state.origins.record({request_id(attempt), engines, version},
                               keep_time);
    }

    /// Runs until a condition holds.
    void run_until(const std::function<bool()>& has_ended)
    {
        while (!has_ended())
        {
            m_context.run_one();
        }
    }

    void wait(monotonic::duration time)
    {
        const auto until = monotonic::now() + time;
        run_until([&] { return monotonic::now() >= until; });
    }

    found_origin find(const std::string& attempt)
    {
        std::optional<found_origin> found;
        start_find(attempt, found);
        run_until([&] { return found.has_value(); });
        return *found;
    }

    void start_find(const std::string& attempt,
                    std::optional<found_origin>& found)
    {
        origin_query query;
        query.begun_by = request_id(attempt);
        query.resumed_by = request_id("next");
        query.service = engines;
        query.span = absl::Seconds(10);
        asio::co_spawn(
            m_context, [this, query] { return m_state.origins.find(query); },
            [&found](const std::exception_ptr&, const found_origin& result)
            { found = result; });
    }

private:
    static gateway_settings make_settings(const std::string& store)
    {
        gateway_settings settings;
        settings.host_id = "gateway";
        settings.host_hall = "here";
        settings.store_address = store;
        return settings;
    }

    asio::io_context m_context{1};
    gateway_state m_state;
    origin_log m_log;
};

class origin_log_test : public testing::Test
{
protected:
    /// Begins a stream at a host that dies once the log has its origin.
    void begin_stream_at_dying_host(const std::string& attempt)
    {
        lone_host host(m_store.address());
        host.list("b", other_version);
        host.begin_stream(attempt);
        const int before = m_log.appends;
        host.run_until([&] { return m_log.appends > before; });
    }

    log_partition m_log;
    scripted_server m_store{m_log.serve()};
};

TEST_F(origin_log_test, a_stream_is_known_after_all_hosts_have_died)
{
    begin_stream_at_dying_host("first");
    lone_host host(m_store.address());
    const auto found = host.find("first");
    EXPECT_EQ(found.source, origin_source::log);
    EXPECT_EQ(found.origin.version, version);
    EXPECT_EQ(found.origin.service, engines);
    EXPECT_EQ(host.find("first").source, origin_source::own);
}

// Calls to the log have a price, and most of the time there is one version.
TEST_F(origin_log_test, nothing_is_written_before_a_second_version_is_listed)
{
    lone_host host(m_store.address());
    host.begin_stream("first");
    host.wait(milliseconds(1000));
    EXPECT_EQ(m_log.appends, 0);
    host.list("b", other_version);
    host.run_until([&] { return m_log.appends > 0; });
    lone_host next(m_store.address());
    EXPECT_EQ(next.find("first").source, origin_source::log);
}

TEST_F(origin_log_test, a_stream_that_the_log_lacks_is_unknown)
{
    begin_stream_at_dying_host("first");
    lone_host host(m_store.address());
    EXPECT_EQ(host.find("unseen").source, origin_source::unknown);
    EXPECT_EQ(host.find("").source, origin_source::unknown);
}

TEST_F(origin_log_test, a_silent_store_leaves_it_unknown)
{
    begin_stream_at_dying_host("first");
    m_log.is_silent = true;
    lone_host host(m_store.address());
    EXPECT_EQ(host.find("first").source, origin_source::unknown);
}

TEST_F(origin_log_test, all_pages_are_read_past_what_was_trimmed)
{
    for (const auto* attempt : {"first", "second", "third"})
    {
        begin_stream_at_dying_host(attempt);
    }
    m_log.trim(1);
    lone_host host(m_store.address());
    EXPECT_EQ(host.find("third").source, origin_source::log);
    EXPECT_EQ(host.find("second").source, origin_source::own);
    EXPECT_EQ(host.find("first").source, origin_source::unknown);
}

TEST_F(origin_log_test, a_store_that_has_lost_records_is_read_from_its_start)
{
    begin_stream_at_dying_host("first");
    begin_stream_at_dying_host("second");
    lone_host host(m_store.address());
    EXPECT_EQ(host.find("first").source, origin_source::log);
    m_log.wipe();
    begin_stream_at_dying_host("third");
    host.wait(milliseconds(300));
    EXPECT_EQ(host.find("third").source, origin_source::log);
}

TEST_F(origin_log_test, records_that_cannot_be_read_hide_no_other)
{
    m_log.append("no origins");
    m_log.append("");
    begin_stream_at_dying_host("first");
    lone_host host(m_store.address());
    EXPECT_EQ(host.find("first").source, origin_source::log);
}

TEST_F(origin_log_test, streams_that_are_resumed_together_share_one_read)
{
    begin_stream_at_dying_host("first");
    const int before = m_log.reads;
    lone_host host(m_store.address());
    std::vector<std::optional<found_origin>> found(20);
    for (auto& result : found)
    {
        host.start_find("first", result);
    }
    host.run_until(
        [&]
        {
            return std::all_of(found.begin(), found.end(),
                               [](const auto& result)
                               { return result.has_value(); });
        });
    for (const auto& result : found)
    {
        EXPECT_EQ(result->origin.version, version);
    }
    EXPECT_EQ(m_log.reads - before, 1);
}

TEST_F(origin_log_test, a_write_that_fails_is_repeated)
{
    m_log.append_status = 503;
    lone_host host(m_store.address());
    host.list("b", other_version);
    host.begin_stream("first");
    host.run_until([&] { return m_log.appends >= 2; });
    m_log.append_status = 200;
    host.run_until([&] { return m_log.size() > 0; });
    lone_host next(m_store.address());
    EXPECT_EQ(next.find("first").source, origin_source::log);
}

} // namespace
} // namespace daleshelf
