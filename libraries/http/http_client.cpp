#include "http_client.hpp"

#include <absl/synchronization/notification.h>
#include <curl/curl.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <base/http_status.hpp>
#include <base/http_syntax.hpp>
#include <base/text.hpp>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace daleshelf
{

namespace
{

constexpr long receive_buffer_bytes = 8192;
constexpr long max_cached_connections = 2048;
constexpr int events_per_wait = 64;

/// Initializes libcurl once a process.
void initialize_library()
{
    static const CURLcode result = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (result != CURLE_OK)
    {
        throw std::runtime_error("libcurl cannot be initialized");
    }
}

std::string_view without_line_end(std::string_view line)
{
    const auto last = line.find_last_not_of("\r\n");
    return line.substr(0, last == std::string_view::npos ? 0 : last + 1);
}

} // namespace

/// One request on its way.
class http_client::transfer
{
public:
    transfer(transfer_id id, http_client_request request,
             http_transfer_handlers handlers)
        : m_id(id)
        , m_request(std::move(request))
        , m_handlers(std::move(handlers))
    {
    }

    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    ~transfer()
    {
        curl_easy_cleanup(m_easy);
        curl_slist_free_all(m_headers);
    }

    [[nodiscard]] transfer_id id() const
    {
        return m_id;
    }

    [[nodiscard]] CURL* easy() const
    {
        return m_easy;
    }

    void prepare()
    {
        m_easy = curl_easy_init();
        set_target();
        set_body();
        set_callbacks();
    }

    void complete(CURLcode code, bool is_cancelled)
    {
        http_transfer_result result;
        result.is_cancelled = is_cancelled;
        if (is_cancelled)
        {
            result.error = "cancelled";
        }
        else if (!m_head_fault.empty())
        {
            result.error = m_head_fault;
        }
        else if (code != CURLE_OK)
        {
            result.error = curl_easy_strerror(code);
        }
        else if (!m_is_head_complete)
        {
            // libcurl reports success if the connection ends within a head.
            result.error = "the connection ended within the response's head";
        }
        result.status = m_is_head_complete ? final_status() : 0;
        long sent = 0;
        curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &sent);
        result.is_sent = sent > 0;
        report_head();
        if (m_handlers.on_done)
        {
            m_handlers.on_done(result);
        }
    }

private:
    void set_target()
    {
        curl_easy_setopt(m_easy, CURLOPT_PRIVATE, this);
        curl_easy_setopt(m_easy, CURLOPT_URL, m_request.url.c_str());
        curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(m_easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(m_easy, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(m_easy, CURLOPT_BUFFERSIZE, receive_buffer_bytes);
        curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS,
                         static_cast<long>(m_request.connect_timeout.count()));
        curl_easy_setopt(m_easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>(m_request.timeout.count()));
        if (m_request.reuse == connection_reuse::forbidden)
        {
            curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
            curl_easy_setopt(m_easy, CURLOPT_FORBID_REUSE, 1L);
        }
    }

    void set_body()
    {
        if (m_request.method == "HEAD")
        {
            curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        }
        else if (!m_request.body.empty() || m_request.method == "POST")
        {
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                             static_cast<curl_off_t>(m_request.body.size()));
            curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.body.data());
        }
        curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST,
                         m_request.method.c_str());
        // Without this the library waits for a "100 Continue" first.
        m_headers = curl_slist_append(m_headers, "Expect:");
        for (const auto& header : m_request.headers)
        {
            const auto line = header.name + ": " + header.value;
            m_headers = curl_slist_append(m_headers, line.c_str());
        }
        curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headers);
    }

    void set_callbacks()
    {
        curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &transfer::on_header);
        curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
        curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &transfer::on_write);
        curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    }

    void report_head()
    {
        if (m_is_head_reported || !m_is_head_complete)
        {
            return;
        }
        m_is_head_reported = true;
        m_head.status = final_status();
        if (m_handlers.on_head)
        {
            m_handlers.on_head(m_head);
        }
    }

    [[nodiscard]] int final_status() const
    {
        long status = 0;
        curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
        return static_cast<int>(status);
    }

    // Called with each line of each head, and of a trailer; the last line of a
    // head is empty.
    // @return the number of bytes accepted; fewer than all fail the transfer
    static std::size_t on_header(char* data, std::size_t size,
                                 std::size_t count, void* cls)
    {
        auto& self = *static_cast<transfer*>(cls);
        const auto bytes = size * count;
        if (self.m_is_head_reported)
        {
            return bytes;
        }
        self.add_head_line({data, bytes});
        return self.m_head_fault.empty() ? bytes : 0;
    }

    void add_head_line(std::string_view line)
    {
        line = without_line_end(line);
        if (line.starts_with("HTTP/"))
        {
            // The head before was informational.
            m_head = {};
            m_is_head_complete = false;
            return;
        }
        if (line.empty())
        {
            end_head();
            return;
        }
        add_field(line);
    }

    void end_head()
    {
        const auto status = final_status();
        if (!http_status::is_valid(status))
        {
            m_head_fault = "the response's status is invalid";
            return;
        }
        m_is_head_complete = status >= http_status::ok;
    }

    // libcurl accepts names and values that HTTP does not allow.
    void add_field(std::string_view line)
    {
        const auto colon = std::min(line.find(':'), line.size());
        const auto name = line.substr(0, colon);
        const auto value = trim(line.substr(std::min(colon + 1, line.size())));
        if (colon == line.size() || !is_field_name(name) ||
            !is_field_value(value))
        {
            m_head_fault = "a field of the response is malformed";
            return;
        }
        http_header header;
        header.name = to_lower(name);
        header.value = std::string(value);
        if (header.name == "content-type")
        {
            m_head.content_type = header.value;
        }
        m_head.headers.push_back(std::move(header));
    }

    static std::size_t on_write(char* data, std::size_t size, std::size_t count,
                                void* cls)
    {
        auto& self = *static_cast<transfer*>(cls);
        self.report_head();
        if (self.m_handlers.on_body)
        {
            self.m_handlers.on_body({data, size * count});
        }
        return size * count;
    }

    transfer_id m_id;
    http_client_request m_request;
    http_transfer_handlers m_handlers;
    http_response m_head;
    std::string m_head_fault;        ///< why the head was refused, if it was
    bool m_is_head_complete = false; ///< of the final response
    bool m_is_head_reported = false;
    CURL* m_easy = nullptr;
    curl_slist* m_headers = nullptr;
};

/// The client's thread: libcurl's sockets and timer on epoll.
class http_client::event_loop
{
public:
    event_loop()
        : m_epoll(::epoll_create1(EPOLL_CLOEXEC))
        , m_wakeup(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
        , m_multi(curl_multi_init())
    {
        epoll_event event{};
        event.events = EPOLLIN;
        event.data.fd = m_wakeup;
        ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_wakeup, &event);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION,
                          &event_loop::on_socket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION,
                          &event_loop::on_timer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS,
                          max_cached_connections);
    }

    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    ~event_loop()
    {
        curl_multi_cleanup(m_multi);
        ::close(m_wakeup);
        ::close(m_epoll);
    }

    transfer_id start(http_client_request request,
                      http_transfer_handlers handlers)
    {
        const auto id = ++m_last_id;
        auto added = std::make_unique<transfer>(id, std::move(request),
                                                std::move(handlers));
        {
            absl::MutexLock lock(&m_mutex);
            m_added.push_back(std::move(added));
        }
        wake();
        return id;
    }

    void cancel(transfer_id id)
    {
        {
            absl::MutexLock lock(&m_mutex);
            m_cancelled.push_back(id);
        }
        wake();
    }

    void stop()
    {
        m_is_stopping = true;
        wake();
    }

    void run()
    {
        int running = 0;
        while (!m_is_stopping)
        {
            std::array<epoll_event, events_per_wait> events{};
            const int count = ::epoll_wait(m_epoll, events.data(),
                                           events_per_wait, wait_time());
            for (int i = 0; i < count; ++i)
            {
                handle_event(events.at(static_cast<std::size_t>(i)));
            }
            if (is_timer_due())
            {
                m_has_timer = false;
                curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0,
                                         &running);
            }
            take_commands();
            take_completed();
        }
        take_commands();
        while (!m_transfers.empty())
        {
            end_transfer(m_transfers.begin()->first, CURLE_OK, true);
        }
    }

private:
    using steady = std::chrono::steady_clock;

    void wake() const
    {
        const std::uint64_t one = 1;
        [[maybe_unused]] const auto written =
            ::write(m_wakeup, &one, sizeof(one));
    }

    int wait_time() const
    {
        if (!m_has_timer)
        {
            return -1;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(
            m_timer - steady::now());
        return left.count() < 0 ? 0 : static_cast<int>(left.count());
    }

    bool is_timer_due() const
    {
        return m_has_timer && steady::now() >= m_timer;
    }

    void handle_event(const epoll_event& event)
    {
        if (event.data.fd == m_wakeup)
        {
            std::uint64_t ignored = 0;
            [[maybe_unused]] const auto count =
                ::read(m_wakeup, &ignored, sizeof(ignored));
            return;
        }
        int flags = 0;
        if ((event.events & (EPOLLIN | EPOLLHUP)) != 0)
        {
            flags |= CURL_CSELECT_IN;
        }
        if ((event.events & EPOLLOUT) != 0)
        {
            flags |= CURL_CSELECT_OUT;
        }
        if ((event.events & EPOLLERR) != 0)
        {
            flags |= CURL_CSELECT_ERR;
        }
        int running = 0;
        curl_multi_socket_action(m_multi, event.data.fd, flags, &running);
    }

    void take_commands()
    {
        std::vector<std::unique_ptr<transfer>> added;
        std::vector<transfer_id> cancelled;
        {
            absl::MutexLock lock(&m_mutex);
            added.swap(m_added);
            cancelled.swap(m_cancelled);
        }
        for (auto& entry : added)
        {
            entry->prepare();
            curl_multi_add_handle(m_multi, entry->easy());
            m_transfers[entry->id()] = std::move(entry);
        }
        for (const auto id : cancelled)
        {
            end_transfer(id, CURLE_OK, true);
        }
    }

    void take_completed()
    {
        int left = 0;
        while (auto* message = curl_multi_info_read(m_multi, &left))
        {
            if (message->msg != CURLMSG_DONE)
            {
                continue;
            }
            void* owner = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &owner);
            const auto id = static_cast<transfer*>(owner)->id();
            end_transfer(id, message->data.result, false);
        }
    }

    void end_transfer(transfer_id id, CURLcode code, bool is_cancelled)
    {
        const auto found = m_transfers.find(id);
        if (found == m_transfers.end())
        {
            return;
        }
        const auto ended = std::move(found->second);
        m_transfers.erase(found);
        curl_multi_remove_handle(m_multi, ended->easy());
        ended->complete(code, is_cancelled);
    }

    static int on_socket(CURL*, curl_socket_t socket, int what, void* cls,
                         void* is_known)
    {
        auto& self = *static_cast<event_loop*>(cls);
        if (what == CURL_POLL_REMOVE)
        {
            ::epoll_ctl(self.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
            return 0;
        }
        epoll_event event{};
        event.data.fd = socket;
        event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) |
                       ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
        const int action = is_known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
        if (::epoll_ctl(self.m_epoll, action, socket, &event) != 0)
        {
            // The kernel forgets a socket that is closed, libcurl may not.
            const int other =
                action == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
            ::epoll_ctl(self.m_epoll, other, socket, &event);
        }
        curl_multi_assign(self.m_multi, socket, &self);
        return 0;
    }

    static int on_timer(CURLM*, long timeout, void* cls)
    {
        auto& self = *static_cast<event_loop*>(cls);
        self.m_has_timer = timeout >= 0;
        self.m_timer = steady::now() + std::chrono::milliseconds(timeout);
        return 0;
    }

    int m_epoll;
    int m_wakeup;
    CURLM* m_multi;
    bool m_has_timer = false;
    steady::time_point m_timer;
    absl::flat_hash_map<transfer_id, std::unique_ptr<transfer>> m_transfers;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<transfer_id> m_last_id = 0;
    absl::Mutex m_mutex;
    std::vector<std::unique_ptr<transfer>> m_added ABSL_GUARDED_BY(m_mutex);
    std::vector<transfer_id> m_cancelled ABSL_GUARDED_BY(m_mutex);
};

http_client::http_client()
{
    initialize_library();
    m_loop = std::make_unique<event_loop>();
    m_thread = std::thread([this] { m_loop->run(); });
}

http_client::~http_client()
{
    stop();
}

void http_client::stop()
{
    m_loop->stop();
    if (m_thread.joinable())
    {
        m_thread.join();
    }
}

http_client::transfer_id http_client::start(http_client_request request,
                                            http_transfer_handlers handlers)
{
    return m_loop->start(std::move(request), std::move(handlers));
}

void http_client::cancel(transfer_id id)
{
    m_loop->cancel(id);
}

http_response http_client::fetch(http_client_request request)
{
    http_response response;
    http_transfer_result result;
    absl::Notification done;
    http_transfer_handlers handlers;
    handlers.on_head = [&response](const http_response& head)
    {
        response.status = head.status;
        response.headers = head.headers;
        response.content_type = head.content_type;
    };
    handlers.on_body = [&response](std::string_view piece)
    { response.body += piece; };
    handlers.on_done = [&result, &done](const http_transfer_result& ended)
    {
        result = ended;
        done.Notify();
    };
    start(std::move(request), std::move(handlers));
    done.WaitForNotification();
    if (!result.is_complete())
    {
        throw std::runtime_error(result.error);
    }
    return response;
}

} // namespace daleshelf
