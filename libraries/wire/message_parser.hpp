/// @file
/// Incremental parsers of HTTP/1.1 messages on Boost.Beast's, free of I/O.
#pragma once

#include "message_head.hpp"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>

namespace daleshelf
{

/// Longest line with the size and extensions of a chunk, including the line end
/// of the chunk before; also the longest last chunk with its trailer. Usual
/// sizes and signatures of trailers need less than 1 KB.
inline constexpr std::size_t max_chunk_framing_bytes = 16384;

/// Why a message cannot be read.
enum class parse_fault
{
    malformed,
    head_too_large,
    body_too_large,
    cut_off, ///< the connection ended before the message did
};

/// A message that cannot be read.
class parse_error : public std::runtime_error
{
public:
    parse_error(parse_fault fault, const std::string& what)
        : std::runtime_error(what), m_fault(fault)
    {
    }

    [[nodiscard]] parse_fault fault() const
    {
        return m_fault;
    }

private:
    parse_fault m_fault;
};

/// What both parsers have in common. Trailer fields are checked and dropped.
/// @tparam IsRequest whether requests are parsed
template <bool IsRequest>
class message_parser : protected boost::beast::http::basic_parser<IsRequest>
{
public:
    /// @param bytes all bytes that were not taken yet
    /// @return how many of them the message has taken
    /// @throws parse_error if they are no message, or exceed a limit; whether
    /// they do does not depend on how they are divided between calls
    std::size_t feed(std::string_view bytes);

    /// The connection has ended in order.
    /// @throws parse_error if the message is not complete
    void feed_end();

    [[nodiscard]] bool has_head() const
    {
        return this->is_header_done();
    }

    [[nodiscard]] bool is_complete() const
    {
        return this->is_done();
    }

    /// @return whether the message ends only when its connection does
    [[nodiscard]] bool ends_with_connection() const
    {
        return this->need_eof();
    }

    [[nodiscard]] bool is_chunked() const
    {
        return this->chunked();
    }

    [[nodiscard]] bool has_length() const
    {
        return this->content_length().has_value();
    }

    /// @return the body that has come since the last call
    [[nodiscard]] std::string take_body()
    {
        return std::exchange(m_body, {});
    }

protected:
    using base = boost::beast::http::basic_parser<IsRequest>;
    using error_code = boost::beast::error_code;
    using text = boost::beast::string_view;

    message_parser(std::uint32_t head_bytes, std::uint64_t body_bytes)
        : m_max_head_bytes(head_bytes)
    {
        // The head and the framing of each chunk are taken by calls of their
        // own, so that their sizes can be checked.
        this->eager(false);
        this->header_limit(head_bytes);
        this->body_limit(body_bytes);
    }

    message_fields m_fields; // NOLINT(readability-identifier-naming)

private:
    void on_field_impl(boost::beast::http::field /*known*/, text name,
                       text value, error_code& error) final;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           error_code& error) final;
    std::size_t on_body_impl(text body, error_code& error) final;
    void on_chunk_header_impl(std::uint64_t size, text extensions,
                              error_code& error) final;
    std::size_t on_chunk_body_impl(std::uint64_t remaining, text body,
                                   error_code& error) final;
    void on_finish_impl(error_code& error) final;

    [[nodiscard]] bool awaits_chunk() const;
    void check_head(std::string_view taken, std::size_t rest);

    std::string m_body;
    std::size_t m_max_head_bytes;
    std::size_t m_head_bytes = 0;   ///< bytes of the head taken so far
    std::uint64_t m_chunk_left = 0; ///< bytes of the chunk that has begun
};

/// Parses one request.
class request_parser final : public message_parser<true>
{
public:
    request_parser(std::uint32_t head_bytes, std::uint64_t body_bytes)
        : message_parser(head_bytes, body_bytes)
    {
    }

    /// @return the head; valid once `has_head` is true
    [[nodiscard]] request_head take_head();

    /// @return whether `has_ambiguous_length` holds
    [[nodiscard]] static bool is_ambiguous(const request_head& head);

private:
    void on_request_impl(boost::beast::http::verb known, text method,
                         text target, int version, error_code& error) override;
    void on_response_impl(int status, text reason, int version,
                          error_code& error) override;

    request_head m_head;
};

/// Parses one answer. One whose status no answer can have, or whose body has
/// more than one possible end, is malformed.
class response_parser final : public message_parser<false>
{
public:
    /// @param head_bytes longest head
    explicit response_parser(std::uint32_t head_bytes)
        : message_parser(head_bytes, std::numeric_limits<std::uint64_t>::max())
    {
    }

    /// The answer has no body, whatever its head says: it answers HEAD.
    void expect_no_body()
    {
        this->skip(true);
    }

    /// @return the head; valid once `has_head` is true
    [[nodiscard]] response_head take_head();

private:
    void on_request_impl(boost::beast::http::verb known, text method,
                         text target, int version, error_code& error) override;
    void on_response_impl(int status, text reason, int version,
                          error_code& error) override;

    void on_header_impl(error_code& error) override;

    response_head m_head;
};

} // namespace daleshelf
