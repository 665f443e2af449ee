#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <base/text.hpp>
#include <wire/message_parser.hpp>
#include <wire/message_writer.hpp>

namespace daleshelf
{
namespace
{

constexpr std::uint32_t head_bytes = 4096;
constexpr std::uint64_t body_bytes = 1024;

request_parser make_request_parser()
{
    return request_parser(head_bytes, body_bytes);
}

parse_fault fault_of_request(const std::string& bytes)
{
    auto parser = make_request_parser();
    try
    {
        parser.feed(bytes);
    }
    catch (const parse_error& error)
    {
        return error.fault();
    }
    ADD_FAILURE() << "no fault was found";
    return parse_fault::cut_off;
}

TEST(request_parser, reads_a_chunked_body_whole)
{
    auto parser = make_request_parser();
    const std::string bytes = "POST /a/b?c HTTP/1.1\r\nHost: one\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    EXPECT_EQ(parser.feed(bytes), bytes.size());
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abcde");
    const auto head = parser.take_head();
    EXPECT_EQ(head.method, "POST");
    EXPECT_EQ(head.target, "/a/b?c");
}

// Guards against a client that sets in a trailer what only the head may state,
// depending on how its bytes are divided.
TEST(request_parser, a_trailer_adds_nothing_to_the_head)
{
    auto parser = make_request_parser();
    parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\nX-Credential: key\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_head().fields.count("X-Credential"), 0);
}

TEST(request_parser, leaves_the_next_request_untouched)
{
    auto parser = make_request_parser();
    const std::string first = "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab";
    EXPECT_EQ(parser.feed(first + "GET /next HTTP/1.1\r\n"), first.size());
    EXPECT_TRUE(parser.is_complete());
}

TEST(request_parser, tells_malformed_from_too_large)
{
    EXPECT_EQ(fault_of_request("GET / HTTP/1.1\r\nno colon\r\n\r\n"),
              parse_fault::malformed);
    EXPECT_EQ(fault_of_request("GET / HTTP/1.1\r\nA: " +
                               std::string(std::size_t{2} * head_bytes, 'x')),
              parse_fault::head_too_large);
    EXPECT_EQ(
        fault_of_request("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n"),
        parse_fault::body_too_large);
}

TEST(request_parser, a_folded_line_is_malformed)
{
    for (const std::string line : {" B: c", "\tB: c", " "})
    {
        EXPECT_EQ(
            fault_of_request("GET / HTTP/1.1\r\nA: b\r\n" + line + "\r\n\r\n"),
            parse_fault::malformed)
            << line;
    }
}

TEST(request_parser, finds_every_ambiguous_end_of_a_body)
{
    const auto is_ambiguous = [](std::vector<message_field> fields)
    {
        request_head head;
        head.fields.fields = std::move(fields);
        return request_parser::is_ambiguous(head);
    };
    EXPECT_FALSE(is_ambiguous({{"Content-Length", "3"}}));
    EXPECT_FALSE(is_ambiguous({{"transfer-encoding", "Chunked"}}));
    EXPECT_TRUE(is_ambiguous(
        {{"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}}));
    EXPECT_TRUE(
        is_ambiguous({{"Content-Length", "3"}, {"content-length", "3"}}));
    EXPECT_TRUE(is_ambiguous({{"Transfer-Encoding", "chunked, identity"}}));
    EXPECT_TRUE(is_ambiguous({{"Transfer-Encoding", "xchunked"}}));
}

TEST(request_parser, an_http_1_0_request_has_no_codings)
{
    request_head head;
    head.version = 10;
    head.fields.fields = {{"Transfer-Encoding", "chunked"}};
    EXPECT_TRUE(request_parser::is_ambiguous(head));
}

RC_GTEST_PROP(request_parser, reads_the_same_however_the_bytes_come, ())
{
    const auto body =
        *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
    RC_PRE(body.size() <= body_bytes);
    std::string bytes = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body;
    auto parser = make_request_parser();
    std::string held;
    std::string read;
    std::size_t next = 0;
    while (next < bytes.size())
    {
        const auto size = *rc::gen::inRange<std::size_t>(1, 20);
        held += bytes.substr(next, size);
        next = std::min(bytes.size(), next + size);
        held.erase(0, parser.feed(held));
        read += parser.take_body();
    }
    RC_ASSERT(parser.is_complete());
    RC_ASSERT(read == body);
}

// A chunked body whose last line came byte by byte ended the process: `n >= 5'
// failed within the library's parser.
TEST(response_parser, a_chunked_end_may_come_byte_by_byte)
{
    const std::string head("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                           "chunked\r\n\r\n");
    for (const std::string body :
         {"0\r\n\r\n", "2\r\nok\r\n0\r\n\r\n", "0;x=y\r\nTrailer: z\r\n\r\n"})
    {
        response_parser parser(4096);
        std::string held;
        for (const char byte : head + body)
        {
            held += byte;
            held.erase(0, parser.feed(held));
        }
        EXPECT_TRUE(parser.is_complete()) << body;
        EXPECT_TRUE(held.empty());
    }
}

// Guards against a response that is signed only after its body.
TEST(response_parser, a_trailer_adds_nothing_to_the_head)
{
    response_parser parser(head_bytes);
    parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\nX-Server-Seal: seal\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_head().fields.count("X-Server-Seal"), 0);
}

TEST(response_parser, an_end_that_never_comes_ends_nothing)
{
    response_parser parser(4096);
    std::string held("HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n0\r\n\n");
    for (int round = 0; round < 3; ++round)
    {
        held.erase(0, parser.feed(held));
        EXPECT_FALSE(parser.is_complete());
        held += "x";
    }
}

TEST(response_parser, a_chunked_answer_that_is_cut_off_is_not_complete)
{
    response_parser parser(head_bytes);
    parser.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab");
    EXPECT_FALSE(parser.is_complete());
    EXPECT_THROW(parser.feed_end(), parse_error);
}

TEST(response_parser, an_answer_without_length_ends_with_its_connection)
{
    response_parser parser(head_bytes);
    parser.feed("HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_TRUE(parser.ends_with_connection());
    EXPECT_FALSE(parser.is_complete());
    parser.feed_end();
    EXPECT_TRUE(parser.is_complete());
    EXPECT_EQ(parser.take_body(), "abc");
}

bool is_refused(const std::string& bytes, std::size_t step)
{
    response_parser parser(head_bytes);
    std::string held;
    try
    {
        for (std::size_t next = 0; next < bytes.size(); next += step)
        {
            held += bytes.substr(next, step);
            held.erase(0, parser.feed(held));
        }
    }
    catch (const parse_error&)
    {
        return true;
    }
    return false;
}

bool is_refused(const std::string& bytes)
{
    const bool at_once = is_refused(bytes, bytes.size());
    EXPECT_EQ(is_refused(bytes, 1), at_once) << bytes;
    return at_once;
}

// Guards against a status that no HTTP response has (RFC 9110, section 15).
TEST(response_parser, a_status_outside_100_to_599_is_malformed)
{
    constexpr int past_three_digits = 1000;
    for (int status = 0; status < past_three_digits; ++status)
    {
        const auto digits = std::to_string(past_three_digits + status);
        EXPECT_EQ(
            is_refused(concat("HTTP/1.1 ", digits.substr(1), " Any\r\n\r\n")),
            status < 100 || status > 599)
            << status;
    }
}

// Guards against a field that is passed on, or dropped, with a name that is no
// token (RFC 9110, section 5.6.2), wherever the byte stands.
TEST(response_parser, a_field_name_is_a_token)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    for (int value = 0; value <= 255; ++value)
    {
        const auto byte = static_cast<char>(static_cast<unsigned char>(value));
        const bool is_token = (byte >= '0' && byte <= '9') ||
                              (byte >= 'a' && byte <= 'z') ||
                              (byte >= 'A' && byte <= 'Z') ||
                              others.find(byte) != std::string_view::npos;
        const std::string text(1, byte);
        const bool splits_name = byte == ':';
        for (const auto& name :
             {"X-A" + text + "B", "X-A" + text, text + "X-A"})
        {
            const bool is_empty = splits_name && name.starts_with(':');
            const auto head = concat("HTTP/1.1 200 OK\r\nX-First: 1\r\n", name,
                                     ": b\r\nX-Last: 1\r\n\r\n");
            EXPECT_EQ(is_refused(head), !is_token && (!splits_name || is_empty))
                << value << " in " << name;
        }
    }
}

// Guards against a body that is passed on with its coding dropped, or that ends
// at another place than its sender meant (RFC 9112, section 6).
TEST(response_parser, an_ambiguous_end_of_a_body_is_malformed)
{
    const std::string end = "\r\n0\r\n\r\n";
    for (const std::string fields :
         {"Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: gzip\r\n",
          "Transfer-Encoding: xchunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
          "Content-Length: 3\r\nContent-Length: 3\r\n",
          "Content-Length: 3, 3\r\n"})
    {
        EXPECT_TRUE(is_refused(concat("HTTP/1.1 200 OK\r\n", fields, end)))
            << fields;
    }
    EXPECT_TRUE(
        is_refused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + end));
    EXPECT_FALSE(
        is_refused("HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n" + end));
}

// A response that has no body states no length other than 0 (RFC 9110, section
// 8.6): a spoiled status would drop the body.
TEST(response_parser, a_body_where_none_is_allowed_is_malformed)
{
    for (const std::string status : {"204 No Content", "103 Early Hints"})
    {
        const auto start = "HTTP/1.1 " + status + "\r\n";
        EXPECT_TRUE(is_refused(start + "Content-Length: 2\r\n\r\nab"));
        EXPECT_TRUE(is_refused(start + "Transfer-Encoding: chunked\r\n\r\n"));
        EXPECT_FALSE(is_refused(start + "Content-Length: 0\r\n\r\n"));
        EXPECT_FALSE(is_refused(start + "\r\n"));
    }
    EXPECT_FALSE(
        is_refused("HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n"));
}

TEST(response_parser, an_answer_to_head_has_no_body)
{
    response_parser parser(head_bytes);
    parser.expect_no_body();
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_TRUE(parser.is_complete());
}

// Feeds a start and then a filler without end, as a connection does.
// @return the bytes that the parser accepted before it refused more; more than
// `bound` if it refused none up to there
std::size_t accepted_bytes(const std::string& start, const std::string& filler,
                           std::size_t bound)
{
    response_parser parser(head_bytes);
    std::string held = start;
    std::size_t accepted = 0;
    try
    {
        while (accepted <= bound)
        {
            held.erase(0, parser.feed(held));
            accepted += filler.size();
            held += filler;
        }
    }
    catch (const parse_error&)
    {
        return accepted;
    }
    return accepted;
}

// A parser that takes fields before their head has ended must count them.
TEST(response_parser, a_head_without_an_end_is_refused)
{
    const std::size_t bound = std::size_t{2} * head_bytes;
    const std::string status = "HTTP/1.1 200 OK\r\n";
    EXPECT_LE(accepted_bytes("HTTP/1.1 200 ", "x", bound), bound);
    EXPECT_LE(accepted_bytes(status, "X-A: b\r\n", bound), bound);
    EXPECT_LE(accepted_bytes(status + "X-A: ", "x", bound), bound);
    EXPECT_LE(accepted_bytes("", "\r\n", bound), bound);
}

// An incomplete line filled the connection's buffer, and nothing was read any
// more until the deadline.
TEST(response_parser, framing_of_chunks_without_an_end_is_refused)
{
    const std::size_t bound = std::size_t{2} * max_chunk_framing_bytes;
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n";
    EXPECT_LE(accepted_bytes(head, "0", bound), bound);
    EXPECT_LE(accepted_bytes(head + "1;a=", "x", bound), bound);
    EXPECT_LE(accepted_bytes(head + "1\r\na\r\n1;a=", "x", bound), bound);
    EXPECT_LE(accepted_bytes(head + "0\r\nA: ", "x", bound), bound);
    EXPECT_LE(accepted_bytes(head + "0\r\n", "A: b\r\n", bound), bound);
}

// A limit that depends on how the bytes come rejects responses at random.
TEST(response_parser, limits_do_not_depend_on_how_the_bytes_come)
{
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                             "chunked\r\n\r\n";
    // "1;a=" and the line end have six bytes.
    const std::string longest(max_chunk_framing_bytes - 6, 'x');
    const std::string end = "\r\nb\r\n0\r\n\r\n";
    // "HTTP/1.1 200 OK", "A: " and the line ends have 24 bytes.
    const std::string longest_field(head_bytes - 24, 'x');
    const std::string status = "HTTP/1.1 200 OK\r\nA: ";
    const auto chunk = concat(head, "1;a=", longest, end);
    const auto longer_chunk = concat(head, "1;a=x", longest, end);
    const auto fields = concat(status, longest_field, "\r\n\r\n");
    const auto longer_fields = concat(status, "x", longest_field, "\r\n\r\n");
    for (const std::size_t step : {1, 7, 4096, 1 << 20})
    {
        EXPECT_FALSE(is_refused(chunk, step)) << step;
        EXPECT_TRUE(is_refused(longer_chunk, step)) << step;
        EXPECT_FALSE(is_refused(fields, step)) << step;
        EXPECT_TRUE(is_refused(longer_fields, step)) << step;
    }
}

TEST(message_head, fields_named_by_connection_concern_it_alone)
{
    message_fields fields;
    fields.fields = {{"Connection", "close, X-Own"}, {"X-Own", "1"}};
    EXPECT_TRUE(is_hop_by_hop(fields, "x-own"));
    EXPECT_TRUE(is_hop_by_hop(fields, "Keep-Alive"));
    EXPECT_FALSE(is_hop_by_hop(fields, "X-Other"));
    EXPECT_FALSE(keeps_connection(fields, 11));
}

TEST(message_head, http_1_0_keeps_a_connection_only_if_it_says_so)
{
    message_fields fields;
    EXPECT_FALSE(keeps_connection(fields, 10));
    EXPECT_TRUE(keeps_connection(fields, 11));
    fields.fields = {{"Connection", "Keep-Alive"}};
    EXPECT_TRUE(keeps_connection(fields, 10));
}

TEST(message_writer, an_empty_chunk_does_not_end_the_body)
{
    std::string out;
    write_chunk(out, "");
    EXPECT_EQ(out, "");
    write_chunk(out, std::string(26, 'x'));
    EXPECT_EQ(out, "1a\r\n" + std::string(26, 'x') + "\r\n");
}

} // namespace
} // namespace daleshelf
