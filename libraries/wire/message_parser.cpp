#include "message_parser.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <base/http_status.hpp>
#include <base/text.hpp>

namespace daleshelf
{

namespace
{

using http_error = boost::beast::http::error;

// The end of a chunked body that has no chunk; others are longer.
constexpr std::size_t shortest_chunk_end = 5;

parse_fault fault_of(const boost::beast::error_code& error)
{
    if (error == http_error::header_limit ||
        error == http_error::buffer_overflow)
    {
        return parse_fault::head_too_large;
    }
    if (error == http_error::body_limit)
    {
        return parse_fault::body_too_large;
    }
    if (error == http_error::partial_message)
    {
        return parse_fault::cut_off;
    }
    return parse_fault::malformed;
}

// @return whether a line continues the one before (RFC 9112, section 5.2)
bool has_folded_line(std::string_view lines)
{
    return lines.find("\n ") != std::string_view::npos ||
           lines.find("\n\t") != std::string_view::npos;
}

// @return whether a response of that status never has a body
bool forbids_body(int status)
{
    return status < http_status::ok || status == http_status::no_content;
}

bool states_body(const message_fields& fields)
{
    const auto* length = fields.find("Content-Length");
    return fields.find("Transfer-Encoding") != nullptr ||
           (length != nullptr && parse_integer(trim(*length)) != 0);
}

} // namespace

template <bool IsRequest>
std::size_t message_parser<IsRequest>::feed(std::string_view bytes)
{
    std::size_t taken = 0;
    while (taken < bytes.size() && !this->is_done())
    {
        error_code error;
        const auto rest = bytes.substr(taken);
        // Whoever sent the last chunk's line and the next byte apart ended the
        // process: Beast asserts that it sees them together the second time.
        if (awaits_chunk() && rest.size() < shortest_chunk_end)
        {
            break;
        }
        const bool had_head = this->is_header_done();
        const bool is_framing = awaits_chunk();
        const auto size = this->put(
            boost::asio::const_buffer(rest.data(), rest.size()), error);
        taken += size;
        const bool needs_more = error == http_error::need_more;
        if (error && !needs_more)
        {
            throw parse_error(fault_of(error), error.message());
        }
        if (!had_head)
        {
            check_head(rest.substr(0, size),
                       needs_more ? rest.size() - size : 0);
        }
        if (is_framing &&
            (needs_more ? rest.size() : size) > max_chunk_framing_bytes)
        {
            throw parse_error(parse_fault::malformed,
                              "the framing of a chunk is too long");
        }
        if (needs_more || size == 0)
        {
            break;
        }
    }
    return taken;
}

// Beast's own limit applies to the bytes that it has not taken, so that the
// longest accepted head depended on how its bytes came.
template <bool IsRequest>
void message_parser<IsRequest>::check_head(std::string_view taken,
                                           std::size_t rest)
{
    m_head_bytes += taken.size();
    if (m_head_bytes + rest > m_max_head_bytes)
    {
        throw parse_error(parse_fault::head_too_large, "the head is too long");
    }
    // Beast joins a folded line to the one before, so that a field whose name
    // begins with a blank would change another one.
    if (has_folded_line(taken))
    {
        throw parse_error(parse_fault::malformed, "a field is folded");
    }
}

template <bool IsRequest>
bool message_parser<IsRequest>::awaits_chunk() const
{
    return this->is_header_done() && this->chunked() && m_chunk_left == 0;
}

template <bool IsRequest>
void message_parser<IsRequest>::feed_end()
{
    error_code error;
    this->put_eof(error);
    if (error)
    {
        throw parse_error(parse_fault::cut_off, error.message());
    }
}

template <bool IsRequest>
void message_parser<IsRequest>::on_field_impl(
    boost::beast::http::field /*known*/, text name, text value,
    error_code& /*error*/)
{
    // Fields of a trailer must not be merged into those of the head (RFC 9110,
    // section 6.5.1).
    if (this->is_header_done())
    {
        return;
    }
    m_fields.fields.push_back({std::string(name.data(), name.size()),
                               std::string(value.data(), value.size())});
}

template <bool IsRequest>
void message_parser<IsRequest>::on_header_impl(error_code& /*error*/)
{
}

template <bool IsRequest>
void message_parser<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/, error_code& /*error*/)
{
}

template <bool IsRequest>
std::size_t message_parser<IsRequest>::on_body_impl(text body,
                                                    error_code& /*error*/)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_chunk_header_impl(std::uint64_t size,
                                                     text /*extensions*/,
                                                     error_code& /*error*/)
{
    m_chunk_left = size;
}

template <bool IsRequest>
std::size_t
message_parser<IsRequest>::on_chunk_body_impl(std::uint64_t remaining,
                                              text body, error_code& /*error*/)
{
    m_chunk_left = remaining - body.size();
    m_body.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void message_parser<IsRequest>::on_finish_impl(error_code& /*error*/)
{
}

template class message_parser<true>;
template class message_parser<false>;

request_head request_parser::take_head()
{
    m_head.fields = std::move(m_fields);
    return std::move(m_head);
}

bool request_parser::is_ambiguous(const request_head& head)
{
    return has_ambiguous_length(head.fields, head.version);
}

void request_parser::on_request_impl(boost::beast::http::verb /*known*/,
                                     text method, text target, int version,
                                     error_code& /*error*/)
{
    m_head.method.assign(method.data(), method.size());
    m_head.target.assign(target.data(), target.size());
    m_head.version = version;
}

void request_parser::on_response_impl(int /*status*/, text /*reason*/,
                                      int /*version*/, error_code& /*error*/)
{
}

response_head response_parser::take_head()
{
    m_head.fields = std::move(m_fields);
    return std::move(m_head);
}

void response_parser::on_header_impl(error_code& error)
{
    if (has_ambiguous_length(m_fields, m_head.version))
    {
        error = http_error::bad_content_length;
    }
    else if (forbids_body(m_head.status) && states_body(m_fields))
    {
        error = http_error::unexpected_body;
    }
}

void response_parser::on_request_impl(boost::beast::http::verb /*known*/,
                                      text /*method*/, text /*target*/,
                                      int /*version*/, error_code& /*error*/)
{
}

void response_parser::on_response_impl(int status, text reason, int version,
                                       error_code& error)
{
    if (!http_status::is_valid(status))
    {
        error = http_error::bad_status;
        return;
    }
    m_head.status = status;
    m_head.reason.assign(reason.data(), reason.size());
    m_head.version = version;
}

} // namespace daleshelf
