#include "http_exchange.hpp"

#include <microhttpd.h>

#include <algorithm>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr std::size_t stream_block_size = 16384;

} // namespace

http_exchange::http_exchange(MHD_Connection* connection,
                             const std::atomic<bool>& is_closing)
    : m_is_closing(is_closing), m_connection(connection)
{
}

void http_exchange::respond(http_response response)
{
    absl::MutexLock lock(&m_mutex);
    if (m_state != answer_state::none)
    {
        return;
    }
    m_state = answer_state::whole;
    m_response = std::move(response);
    resume_if_suspended();
}

void http_exchange::start_stream(int status, std::string content_type,
                                 std::vector<http_header> headers)
{
    absl::MutexLock lock(&m_mutex);
    if (m_state != answer_state::none)
    {
        return;
    }
    m_state = answer_state::streaming;
    m_response.status = status;
    m_response.content_type = std::move(content_type);
    m_response.headers = std::move(headers);
    resume_if_suspended();
}

bool http_exchange::write(std::string_view bytes)
{
    absl::MutexLock lock(&m_mutex);
    if (m_is_closed || m_state != answer_state::streaming)
    {
        return false;
    }
    m_buffer += bytes;
    resume_if_suspended();
    return true;
}

void http_exchange::finish()
{
    absl::MutexLock lock(&m_mutex);
    if (m_state != answer_state::streaming)
    {
        return;
    }
    m_state = answer_state::finished;
    resume_if_suspended();
}

bool http_exchange::is_closed() const
{
    absl::MutexLock lock(&m_mutex);
    return m_is_closed;
}

void http_exchange::set_close_handler(std::function<void()> handler)
{
    absl::MutexLock lock(&m_mutex);
    m_close_handler = std::move(handler);
}

void http_exchange::resume_if_suspended()
{
    if (!m_is_suspended || m_is_closed)
    {
        return;
    }
    m_is_suspended = false;
    MHD_resume_connection(m_connection);
}

void http_exchange::close()
{
    std::function<void()> handler;
    {
        absl::MutexLock lock(&m_mutex);
        m_is_closed = true;
        handler = std::exchange(m_close_handler, nullptr);
    }
    if (handler)
    {
        handler();
    }
}

MHD_Response* http_exchange::make_response()
{
    MHD_Response* response = nullptr;
    if (m_state == answer_state::whole)
    {
        response = MHD_create_response_from_buffer(m_response.body.size(),
                                                   m_response.body.data(),
                                                   MHD_RESPMEM_MUST_COPY);
    }
    else
    {
        response = MHD_create_response_from_callback(
            MHD_SIZE_UNKNOWN, stream_block_size, &http_exchange::read_body,
            new std::shared_ptr<http_exchange>(shared_from_this()),
            &http_exchange::free_reader);
    }
    MHD_add_response_header(response, "Content-Type",
                            m_response.content_type.c_str());
    for (const auto& header : m_response.headers)
    {
        MHD_add_response_header(response, header.name.c_str(),
                                header.value.c_str());
    }
    if (m_is_closing)
    {
        MHD_add_response_header(response, "Connection", "close");
    }
    return response;
}

bool http_exchange::queue_or_suspend()
{
    absl::MutexLock lock(&m_mutex);
    if (m_state == answer_state::none)
    {
        m_is_suspended = true;
        MHD_suspend_connection(m_connection);
        return true;
    }
    auto* response = make_response();
    const auto is_queued = MHD_queue_response(
        m_connection, static_cast<unsigned int>(m_response.status), response);
    MHD_destroy_response(response);
    return is_queued == MHD_YES;
}

ssize_t http_exchange::read_body(void* cls, std::uint64_t, char* buffer,
                                 std::size_t size)
{
    auto& self = **static_cast<std::shared_ptr<http_exchange>*>(cls);
    absl::MutexLock lock(&self.m_mutex);
    if (!self.m_buffer.empty())
    {
        const auto count = std::min(size, self.m_buffer.size());
        std::copy_n(self.m_buffer.begin(), count, buffer);
        self.m_buffer.erase(0, count);
        return static_cast<ssize_t>(count);
    }
    if (self.m_state == answer_state::finished)
    {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    // NOTE: returning 0 without suspending would make the server spin.
    self.m_is_suspended = true;
    MHD_suspend_connection(self.m_connection);
    return 0;
}

void http_exchange::free_reader(void* cls)
{
    delete static_cast<std::shared_ptr<http_exchange>*>(cls);
}

} // namespace daleshelf
