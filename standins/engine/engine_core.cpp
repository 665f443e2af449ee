#include "engine_core.hpp"

#include <absl/time/clock.h>
#include <boost/json.hpp>

#include <algorithm>
#include <base/digest.hpp>
#include <http/event_stream.hpp>
#include <http/http_exchange.hpp>
#include <iterator>
#include <utility>

namespace daleshelf::standin
{

namespace
{

constexpr absl::Duration finished_streams_kept = absl::Seconds(60);
constexpr std::size_t loads_kept = 2000;

std::vector<std::string> joined(const std::vector<std::string>& first,
                                const std::vector<std::string>& second)
{
    auto all = first;
    all.insert(all.end(), second.begin(), second.end());
    return all;
}

boost::json::object choice(const sequence& item, const std::string& text,
                           const char* finish_reason)
{
    boost::json::object object{{"index", 0}};
    if (item.request.is_chat)
    {
        object["delta"] = boost::json::object{{"content", text}};
    }
    else
    {
        object["text"] = text;
    }
    object["finish_reason"] = finish_reason == nullptr
                                  ? boost::json::value()
                                  : boost::json::value(finish_reason);
    return object;
}

boost::json::object chunk(const sequence& item)
{
    return {{"id", item.id},
            {"object", item.request.is_chat ? "chat.completion.chunk"
                                            : "text_completion"},
            {"model", item.request.model}};
}

} // namespace

engine_core::engine_core(const engine_options& options)
    : m_options(options)
    , m_cache(static_cast<std::size_t>(options.cache_blocks))
    , m_name(random_hex(4))
    , m_thread([this] { run(); })
{
}

engine_core::~engine_core()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_is_stopping = true;
    }
    m_thread.join();
}

void engine_core::start(generation_request request,
                        const std::shared_ptr<http_exchange>& exchange)
{
    absl::MutexLock lock(&m_mutex);
    const auto arrival = ++m_last_arrival;
    const auto id = "stream-" + m_name + "-" + std::to_string(arrival);
    token_generator generator(request.model, request.prompt);
    auto item = std::make_shared<sequence>(sequence{
        .id = id, .request = std::move(request), .generator = generator});
    item->arrival = arrival;
    item->first_position =
        static_cast<std::int64_t>(item->request.continuation.size());
    m_received_by_id[id] = m_received.size();
    m_received.push_back(
        {item->request.attempt, item->request.request, "started"});
    m_streams[id] = item;
    m_active.push_back(item);
    attach(item, exchange, item->first_position);
}

bool engine_core::resume(const std::string& id, std::int64_t from,
                         const std::shared_ptr<http_exchange>& exchange)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || from < found->second->first_position ||
        from > found->second->next_position())
    {
        return false;
    }
    attach(found->second, exchange, from);
    return true;
}

void engine_core::attach(const sequence_ptr& item,
                         const std::shared_ptr<http_exchange>& exchange,
                         std::int64_t from)
{
    if (item->reader)
    {
        item->reader->finish();
    }
    item->reader = exchange;
    item->reader_left = absl::InfiniteFuture();
    exchange->set_close_handler([this, id = item->id, raw = exchange.get()]
                                { detach(id, raw); });
    exchange->start_stream(200, "text/event-stream",
                           {{"X-Stream-Id", item->id}});
    for (auto position = from; position < item->next_position(); ++position)
    {
        send(*item, position);
    }
    if (item->is_finished)
    {
        send_end(*item);
    }
}

void engine_core::detach(const std::string& id, const http_exchange* exchange)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end() || found->second->reader.get() != exchange)
    {
        return;
    }
    found->second->reader = nullptr;
    found->second->reader_left = absl::Now();
}

bool engine_core::cancel(const std::string& id)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return false;
    }
    if (!found->second->is_finished)
    {
        found->second->is_cancelled = true;
    }
    return true;
}

std::vector<std::uint64_t> engine_core::export_blocks(const std::string& id)
{
    absl::MutexLock lock(&m_mutex);
    const auto found = m_streams.find(id);
    if (found == m_streams.end())
    {
        return {};
    }
    const auto& item = *found->second;
    auto tokens = joined(item.request.prompt, item.request.continuation);
    for (const auto& text : item.produced)
    {
        tokens.push_back(text.substr(1));
    }
    return block_hashes(tokens);
}

void engine_core::import_blocks(const std::vector<std::uint64_t>& blocks)
{
    absl::MutexLock lock(&m_mutex);
    m_cache.store(blocks);
}

engine_load engine_core::load(absl::Duration lag)
{
    absl::MutexLock lock(&m_mutex);
    engine_load shown;
    for (const auto& entry : m_loads)
    {
        if (entry.time + lag <= absl::Now())
        {
            shown = entry;
        }
    }
    return shown;
}

std::vector<cache_event> engine_core::cache_events(std::int64_t from)
{
    absl::MutexLock lock(&m_mutex);
    std::vector<cache_event> shown;
    std::copy_if(m_cache.events().begin(), m_cache.events().end(),
                 std::back_inserter(shown),
                 [from](const cache_event& event)
                 { return event.number >= from; });
    return shown;
}

std::vector<computed_block> engine_core::computed_blocks()
{
    absl::MutexLock lock(&m_mutex);
    return m_computed;
}

std::vector<received_request> engine_core::received()
{
    absl::MutexLock lock(&m_mutex);
    return m_received;
}

void engine_core::run()
{
    while (true)
    {
        {
            absl::MutexLock lock(&m_mutex);
            const auto is_needed = [this]()
                                       ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex)
            { return m_is_stopping || !m_active.empty(); };
            constexpr absl::Duration idle_interval = absl::Milliseconds(50);
            m_mutex.AwaitWithTimeout(absl::Condition(&is_needed),
                                     idle_interval);
            if (m_is_stopping)
            {
                return;
            }
            record_load();
            end_abandoned();
            if (m_active.empty())
            {
                continue;
            }
        }
        step();
    }
}

void engine_core::step()
{
    const auto start = absl::Now();
    std::vector<sequence_ptr> batch;
    std::vector<sequence_ptr> decoding;
    std::int64_t prefilled = 0;
    {
        absl::MutexLock lock(&m_mutex);
        batch = choose_batch();
        for (const auto& item : batch)
        {
            prefilled += prefill(*item, m_options.prefill_tokens - prefilled);
            if (item->prefill_left == 0)
            {
                decoding.push_back(item);
            }
        }
    }
    const auto sequences = static_cast<std::int64_t>(decoding.size());
    const auto time =
        absl::Microseconds(m_options.step_us + m_options.decode_us * sequences +
                           m_options.prefill_us * prefilled);
    absl::SleepFor(start + time - absl::Now());
    absl::MutexLock lock(&m_mutex);
    for (const auto& item : decoding)
    {
        decode(*item);
    }
}

std::vector<engine_core::sequence_ptr> engine_core::choose_batch()
{
    std::stable_sort(
        m_active.begin(), m_active.end(),
        [](const sequence_ptr& left, const sequence_ptr& right)
        { return left->request.priority > right->request.priority; });
    std::vector<sequence_ptr> batch;
    for (const auto& item : m_active)
    {
        if (static_cast<std::int64_t>(batch.size()) >= m_options.max_batch)
        {
            break;
        }
        admit(*item);
        batch.push_back(item);
    }
    return batch;
}

void engine_core::admit(sequence& item)
{
    if (item.is_admitted)
    {
        return;
    }
    item.is_admitted = true;
    const auto tokens = joined(item.request.prompt, item.request.continuation);
    item.blocks = block_hashes(tokens);
    const auto cached = m_cache.match(item.blocks);
    item.cached_tokens = static_cast<std::int64_t>(cached) * block_tokens;
    item.prefill_left =
        static_cast<std::int64_t>(tokens.size()) - item.cached_tokens;
    item.prefilled_tokens = item.prefill_left;
    for (auto i = cached; i < item.blocks.size(); ++i)
    {
        m_computed.push_back(
            {absl::Now(), item.blocks[i], item.request.attempt});
    }
}

std::int64_t engine_core::prefill(sequence& item, std::int64_t budget)
{
    const auto count = std::min(item.prefill_left, budget);
    item.prefill_left -= count;
    if (count > 0 && item.prefill_left == 0)
    {
        m_cache.store(item.blocks);
    }
    return count;
}

void engine_core::decode(sequence& item)
{
    if (item.is_cancelled)
    {
        finish(item, "cancelled");
        return;
    }
    const auto position = item.next_position();
    if (position < item.request.max_tokens)
    {
        item.produced.push_back(item.generator.token(position));
        send(item, position);
    }
    if (item.next_position() >= item.request.max_tokens)
    {
        item.is_finished = true;
        send_end(item);
        finish(item, "finished");
    }
}

void engine_core::finish(sequence& item, const std::string& state)
{
    item.is_finished = true;
    m_received[m_received_by_id[item.id]].state = state;
    auto tokens = joined(item.request.prompt, item.request.continuation);
    for (const auto& text : item.produced)
    {
        tokens.push_back(text.substr(1));
    }
    m_cache.store(block_hashes(tokens));
    if (state == "cancelled" && item.reader)
    {
        item.reader->finish();
    }
    m_finished.emplace_back(absl::Now(), item.id);
    m_active.erase(std::remove_if(m_active.begin(), m_active.end(),
                                  [&item](const sequence_ptr& entry)
                                  { return entry.get() == &item; }),
                   m_active.end());
}

void engine_core::end_abandoned()
{
    const auto active = m_active;
    for (const auto& item : active)
    {
        if (item->is_cancelled ||
            absl::Now() - item->reader_left > m_options.linger)
        {
            finish(*item, "cancelled");
        }
    }
    while (!m_finished.empty() &&
           absl::Now() - m_finished.front().first > finished_streams_kept)
    {
        m_streams.erase(m_finished.front().second);
        m_finished.pop_front();
    }
}

void engine_core::record_load()
{
    engine_load now;
    now.time = absl::Now();
    const auto active = static_cast<std::int64_t>(m_active.size());
    now.running = std::min(active, m_options.max_batch);
    now.waiting = active - now.running;
    now.cached_blocks = static_cast<std::int64_t>(m_cache.size());
    m_loads.push_back(now);
    if (m_loads.size() > loads_kept)
    {
        m_loads.pop_front();
    }
}

void engine_core::send(sequence& item, std::int64_t position)
{
    if (!item.reader)
    {
        return;
    }
    const auto index = static_cast<std::size_t>(position - item.first_position);
    auto data = chunk(item);
    data["choices"] =
        boost::json::array{choice(item, item.produced[index], nullptr)};
    server_sent_event event;
    event.id = std::to_string(position);
    event.data = boost::json::serialize(data);
    item.reader->write(to_event_stream(event));
}

void engine_core::send_end(sequence& item)
{
    if (!item.reader)
    {
        return;
    }
    auto data = chunk(item);
    data["choices"] = boost::json::array{choice(item, "", "length")};
    data["usage"] =
        boost::json::object{{"prompt_tokens", item.request.prompt.size()},
                            {"completion_tokens", item.next_position()},
                            {"cached_tokens", item.cached_tokens},
                            {"prefilled_tokens", item.prefilled_tokens}};
    server_sent_event event;
    event.id = std::to_string(item.next_position());
    event.data = boost::json::serialize(data);
    item.reader->write(to_event_stream(event));
    server_sent_event done;
    done.data = "[DONE]";
    item.reader->write(to_event_stream(done));
    item.reader->finish();
}

} // namespace daleshelf::standin
