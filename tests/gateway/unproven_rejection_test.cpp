// Guards against clients that are promised that their request has not run
// (408, 421, 429, 503) although its upstream does not state it, and against
// sending such a request again. An upstream states it by X-Not-Executed, or by
// a 421 that names no request.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// A response that claims not to be the result of a run.
struct rejection
{
    int status = 0;
    bool names_request = false; ///< carries the request's id
    bool is_marked = false;     ///< carries X-Not-Executed

    [[nodiscard]] bool is_proven() const
    {
        return is_marked || (status == 421 && !names_request);
    }

    [[nodiscard]] std::string name() const
    {
        return concat("of_", status, is_marked ? "_marked" : "",
                      names_request ? "_with_id" : "");
    }

    [[nodiscard]] std::string bytes(const std::string& id) const
    {
        return concat("HTTP/1.1 ", status, " Rejected\r\n",
                      names_request ? "X-Attempt-Id: " + id + "\r\n" : "",
                      is_marked ? "X-Not-Executed: 1\r\n" : "",
                      "Retry-After: 4\r\nContent-Length: 4\r\n\r\nwhat");
    }
};

// GoogleTest finds it by this name.
// NOLINTNEXTLINE(readability-identifier-naming)
void PrintTo(const rejection& tested, std::ostream* out)
{
    *out << tested.name();
}

std::vector<rejection> all_rejections()
{
    std::vector<rejection> all;
    for (const int status : {408, 421, 429, 503})
    {
        for (const bool names_request : {false, true})
        {
            for (const bool is_marked : {false, true})
            {
                all.push_back({status, names_request, is_marked});
            }
        }
    }
    return all;
}

std::vector<rejection> rejections_with_id()
{
    auto all = all_rejections();
    std::erase_if(all,
                  [](const auto& tested) { return !tested.names_request; });
    return all;
}

std::string name_of_case(const testing::TestParamInfo<rejection>& tested)
{
    return tested.param.name();
}

bool is_promise(const std::string& response)
{
    for (const auto* status : {"408", "421", "429", "503"})
    {
        if (response.starts_with(concat("HTTP/1.1 ", status, " ")))
        {
            return true;
        }
    }
    return false;
}

scripted_server::script respond_to_all()
{
    return [](test_connection& connection)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            connection.send(make_response(id_of(request), "good"));
        }
    };
}

class unproven_rejection : public gateway_fixture,
                           public testing::WithParamInterface<rejection>
{
protected:
    unproven_rejection()
    {
        configure();
    }

    /// Responds to the first requests of a connection in order, and rejects the
    /// next one.
    static scripted_server::script reject_after(int responses)
    {
        return [=](test_connection& connection)
        {
            for (int number = 0;; ++number)
            {
                const auto request = connection.read_message();
                if (request.empty())
                {
                    return;
                }
                connection.send(number < responses
                                    ? make_response(id_of(request), "good")
                                    : GetParam().bytes(id_of(request)));
            }
        };
    }

    void expect_truth(const std::string& response)
    {
        if (GetParam().is_proven())
        {
            EXPECT_TRUE(is_promise(response)) << response;
            return;
        }
        EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
        EXPECT_EQ(response.find("Retry-After"), std::string::npos) << response;
        EXPECT_EQ(response.find("what"), std::string::npos) << response;
    }
};

TEST_P(unproven_rejection, is_a_502_to_an_unsafe_request)
{
    const scripted_server server(reject_after(0));
    add_server("a", server);
    expect_truth(fetch("/unsafe/x"));
    EXPECT_EQ(server.requests(), 1);
}

TEST_P(unproven_rejection, is_not_sent_to_another_upstream)
{
    const scripted_server rejecting(reject_after(0));
    add_server("a", rejecting);
    const scripted_server sound(respond_to_all());
    add_server("b", sound);
    // Each upstream gets some of the requests.
    for (int round = 0; round < 8; ++round)
    {
        const auto before = rejecting.requests();
        const auto sound_before = sound.requests();
        const auto response = fetch("/unsafe/x");
        const bool was_rejected = rejecting.requests() > before;
        if (was_rejected && !GetParam().is_proven())
        {
            expect_truth(response);
            EXPECT_EQ(sound.requests(), sound_before);
            return;
        }
        EXPECT_TRUE(response.ends_with("good")) << response;
    }
}

TEST_P(unproven_rejection, of_a_safe_request_leaves_it_to_another_upstream)
{
    const scripted_server rejecting(reject_after(0));
    add_server("a", rejecting);
    expect_truth(fetch("/safe/x"));
    const scripted_server sound(respond_to_all());
    add_server("b", sound);
    EXPECT_TRUE(fetch("/safe/x").ends_with("good"));
}

TEST_P(unproven_rejection, of_a_stream_is_a_502)
{
    const scripted_server rejecting(reject_after(0));
    add_server("a", rejecting);
    expect_truth(fetch("/fixed/x"));
    EXPECT_EQ(rejecting.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(rejections, unproven_rejection,
                         testing::ValuesIn(all_rejections()), name_of_case);

// Without an id it can belong to the request before.
class unproven_rejection_with_id : public unproven_rejection
{
};

TEST_P(unproven_rejection_with_id, on_a_reused_connection_is_a_502)
{
    const scripted_server server(reject_after(1));
    add_server("a", server);
    EXPECT_TRUE(fetch("/unsafe/x", "1").ends_with("good"));
    expect_truth(fetch("/unsafe/x", "2"));
}

INSTANTIATE_TEST_SUITE_P(rejections, unproven_rejection_with_id,
                         testing::ValuesIn(rejections_with_id()), name_of_case);

using contradictory_rejection = gateway_fixture;

// Guards against a second run of a request whose response is signed as its
// result and says that it has not run.
TEST_F(contradictory_rejection, is_a_502_and_not_sent_again)
{
    configure();
    const auto serve = [](test_connection& connection)
    {
        const auto id = id_of(connection.read_message());
        connection.send(concat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", id,
                               "\r\nX-Server-Seal: seal\r\nX-Not-Executed: 1"
                               "\r\nContent-Length: 4\r\n\r\nbody"));
    };
    const scripted_server one(serve);
    const scripted_server other(serve);
    add_server("a", one);
    add_server("b", other);
    const auto response = fetch("/unsafe/x");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << response;
    EXPECT_EQ(one.requests() + other.requests(), 1);
}

} // namespace
} // namespace daleshelf
