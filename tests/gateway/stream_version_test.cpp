// Guards against streams that hold events of two software versions: what two
// versions write does not fit together, and upstreams do not check this.
#include "gateway_fixture.hpp"

#include <base/text.hpp>
#include <set>

namespace daleshelf
{
namespace
{

constexpr int stream_count = 20;

bool resumes(const std::string& request)
{
    return request.find("Last-Event-Id: ") != std::string::npos;
}

/// Sends two events that name a version: each on an attempt of its own, since
/// the first attempt breaks off after the first event.
scripted_server::script break_first_attempt(const std::string& version)
{
    return [=](test_connection& connection)
    {
        const auto request = connection.read_message();
        const auto id = id_of(request);
        if (!resumes(request))
        {
            connection.send(stream_head(id) + event_chunk(1, version));
            return;
        }
        connection.send(stream_head(id) + event_chunk(2, version) + last_chunk);
    };
}

/// As above, but the first attempt lasts until its client leaves.
scripted_server::script hold_first_attempt(const std::string& version)
{
    return [=](test_connection& connection)
    {
        const auto request = connection.read_message();
        const auto id = id_of(request);
        if (!resumes(request))
        {
            connection.send(stream_head(id) + event_chunk(1, version));
            connection.read_message();
            return;
        }
        connection.send(stream_head(id) + event_chunk(2, version) + last_chunk);
    };
}

/// @return the versions that the events of a stream name
std::set<std::string> versions_in(const std::string& stream)
{
    std::set<std::string> versions;
    for (const auto* version : {"v1", "v2"})
    {
        if (stream.find(concat("data: ", version)) != std::string::npos)
        {
            versions.insert(version);
        }
    }
    return versions;
}

class stream_version : public gateway_fixture
{
protected:
    stream_version()
    {
        configure();
    }

    void list(const std::string& id, const std::string& version,
              const scripted_server& server)
    {
        server_entry entry;
        entry.id = upstream_id(id);
        entry.service = service_name("service");
        entry.version = version_name(version);
        entry.address = server.address();
        entry.hall = hall_id("here");
        entry.slots = 4;
        on_loop([&] { m_state.servers.set(entry); });
    }

    void unlist(const std::string& id)
    {
        on_loop([&] { m_state.servers.remove(upstream_id(id)); });
    }

    /// Begins a stream and leaves after its first event.
    /// @return what was received
    std::string begin_stream(const std::string& id)
    {
        const auto client = connect();
        client->send(request_for("/stream/x", id));
        return client->read_until("\n\n");
    }

    /// Takes a stream up after its first event.
    /// @param begun_by the attempt that began it; empty: not named
    std::string take_up(const std::string& id, const std::string& begun_by)
    {
        auto request = request_for("/stream/x", id);
        request.resize(request.size() - 2);
        request += "Last-Event-Id: 1\r\n";
        if (!begun_by.empty())
        {
            request += concat("Resumes: ", begun_by, "\r\n");
        }
        const auto client = connect();
        client->send(request + "\r\n");
        return client->read_until(last_chunk);
    }
};

TEST_F(stream_version, a_broken_stream_goes_on_at_its_own_version)
{
    const scripted_server a(break_first_attempt("v1"));
    const scripted_server b(break_first_attempt("v1"));
    const scripted_server c(break_first_attempt("v2"));
    const scripted_server d(break_first_attempt("v2"));
    list("a", "v1", a);
    list("b", "v1", b);
    list("c", "v2", c);
    list("d", "v2", d);
    for (int number = 0; number < stream_count; ++number)
    {
        refill_retry_budget();
        const auto client = connect();
        client->send(request_for("/stream/x", std::to_string(number)));
        const auto stream = client->read_until(last_chunk);
        EXPECT_TRUE(stream.ends_with(last_chunk)) << stream;
        EXPECT_EQ(versions_in(stream).size(), 1) << stream;
    }
}

TEST_F(stream_version, a_broken_stream_without_an_upstream_of_it_ends)
{
    const scripted_server a(break_first_attempt("v1"));
    const scripted_server c(break_first_attempt("v2"));
    list("a", "v1", a);
    list("c", "v2", c);
    const auto client = connect();
    client->send(request_for("/stream/x"));
    const auto stream = client->read_until(last_chunk);
    EXPECT_EQ(versions_in(stream).size(), 1) << stream;
    EXPECT_FALSE(stream.ends_with(last_chunk)) << "it must not look complete";
    EXPECT_EQ(a.requests() + c.requests(), 1);
}

TEST_F(stream_version, a_stream_is_taken_up_at_its_own_version)
{
    const scripted_server a(hold_first_attempt("v1"));
    const scripted_server b(hold_first_attempt("v2"));
    list("a", "v1", a);
    list("b", "v2", b);
    for (int number = 0; number < stream_count; ++number)
    {
        const auto first = concat("first", number);
        const auto begun = begin_stream(first);
        const auto rest = take_up(concat("second", number), first);
        EXPECT_TRUE(rest.ends_with(last_chunk)) << rest;
        EXPECT_EQ(versions_in(begun + rest).size(), 1) << begun << rest;
    }
}

TEST_F(stream_version, a_stream_without_an_upstream_of_it_is_not_taken_up)
{
    const scripted_server a(hold_first_attempt("v1"));
    const scripted_server b(hold_first_attempt("v2"));
    list("a", "v1", a);
    begin_stream("first");
    unlist("a");
    list("b", "v2", b);
    const auto response = take_up("second", "first");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
    EXPECT_EQ(b.requests(), 0);
}

TEST_F(stream_version, a_stream_of_unknown_version_is_not_taken_up)
{
    const scripted_server a(hold_first_attempt("v1"));
    const scripted_server b(hold_first_attempt("v2"));
    list("a", "v1", a);
    list("b", "v2", b);
    for (const auto* begun_by : {"unseen", ""})
    {
        const auto response = take_up("second", begun_by);
        EXPECT_TRUE(response.starts_with("HTTP/1.1 503 ")) << response;
        EXPECT_NE(response.find("Retry-After: "), std::string::npos)
            << response;
    }
    EXPECT_EQ(a.requests() + b.requests(), 0);
}

} // namespace
} // namespace daleshelf
