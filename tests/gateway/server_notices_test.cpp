// While the store gave a host no answer, a server said in each of its answers
// that it was leaving, and the host went on sending it first tries, the last
// one 2.9 s after the first such answer. Only the list of servers was asked who
// leaves (`wait_given_up topic=keyed.servers waited_ms=1500`, four times in a
// row), and nobody read what an answer said of its server.
#include "gateway_fixture.hpp"

#include <base/text.hpp>

namespace daleshelf
{
namespace
{

/// Answers each request well, with fields that speak of the server.
scripted_server::script answering_with(const std::string& fields,
                                       const std::string& body,
                                       int status = 200)
{
    return [=](test_connection& connection)
    {
        while (true)
        {
            const auto request = connection.read_message();
            if (request.empty())
            {
                return;
            }
            auto answer = plain_answer(id_of(request), body, status);
            answer.insert(answer.find("\r\n") + 2, fields);
            connection.send(answer);
        }
    };
}

class server_notices : public gateway_fixture
{
protected:
    server_notices()
    {
        configure();
    }

    /// Asks until the server that answers with this body has done so.
    /// @return whether it has within a number of requests that any choice
    /// among equals reaches it
    bool ask_until(const std::string& body)
    {
        constexpr int enough = 200;
        for (int index = 0; index < enough; ++index)
        {
            if (ask("/unsafe/x").ends_with(body))
            {
                return true;
            }
        }
        return false;
    }

    /// @return how many of some further requests the server has answered
    int answered_by(const std::string& body)
    {
        constexpr int further = 50;
        int answered = 0;
        for (int index = 0; index < further; ++index)
        {
            answered += ask("/unsafe/x").ends_with(body) ? 1 : 0;
        }
        return answered;
    }
};

TEST_F(server_notices, a_server_whose_answer_says_that_it_leaves_gets_nothing)
{
    const scripted_server leaving(
        answering_with("Server-Leaving: 1\r\n", "leaving"));
    const scripted_server staying(answering_with("", "staying"));
    add_server("a", leaving);
    add_server("b", staying);
    ASSERT_TRUE(ask_until("leaving"));
    EXPECT_EQ(answered_by("leaving"), 0);
}

} // namespace
} // namespace daleshelf
