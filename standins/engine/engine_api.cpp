#include "engine_api.hpp"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <base/json.hpp>
#include <http/http_exchange.hpp>
#include <standins/common/program.hpp>
#include <utility>

namespace daleshelf::standin
{

namespace
{

http_response not_run_response(int status, const std::string& message)
{
    auto response = error_response(status, message);
    response.headers.push_back({"X-Request-Executed", "no"});
    return response;
}

std::string chat_prompt(const boost::json::object& fields)
{
    const auto* messages = find_array(fields, "messages");
    if (messages == nullptr)
    {
        throw json_error("field 'messages' must be given, as an array");
    }
    std::string prompt;
    for (const auto& entry : *messages)
    {
        if (!entry.is_object())
        {
            throw json_error("field 'messages' must hold objects");
        }
        prompt += require_string(entry.get_object(), "role") + ": " +
                  require_string(entry.get_object(), "content") + "\n";
    }
    return prompt;
}

generation_request read_generation(const http_request& request)
{
    const auto fields = parse_object(request.body);
    generation_request read;
    read.is_chat = absl::StartsWith(request.path, "/v1/chat/");
    read.model = require_string(fields, "model");
    read.prompt = tokenize(read.is_chat ? chat_prompt(fields)
                                        : require_string(fields, "prompt"));
    read.continuation =
        tokenize(find_string(fields, "continuation").value_or(""));
    read.max_tokens = find_integer(fields, "max_tokens").value_or(16);
    read.priority = find_integer(fields, "priority").value_or(0);
    read.attempt = request.header("x-attempt-id");
    read.request = request.header("x-request-id");
    return read;
}

std::string last_segment(const std::string& path)
{
    return path.substr(path.rfind('/') + 1);
}

} // namespace

engine_api::engine_api(const engine_options& options,
                       const std::vector<std::string>& models)
    : m_options(options)
    , m_faults(m_timers)
    , m_core(options)
    , m_orders(m_faults, absl::Milliseconds(options.load_ms))
    , m_routes{
          {"POST", "/v1/completions", &engine_api::generate},
          {"POST", "/v1/chat/completions", &engine_api::generate},
          {"GET", "/v1/streams/", &engine_api::resume},
          {"DELETE", "/v1/streams/", &engine_api::cancel},
          {"GET", "/kv/", &engine_api::export_kv},
          {"POST", "/kv", &engine_api::import_kv},
          {"GET", "/load", &engine_api::show_load},
          {"GET", "/cache/events", &engine_api::show_cache_events},
          {"POST", "/orders", &engine_api::take_order},
          {"GET", "/orders", &engine_api::show_orders},
          {"POST", "/standin/faults", &engine_api::set_faults},
          {"GET", "/standin/received", &engine_api::show_received},
          {"GET", "/standin/computed", &engine_api::show_computed},
      }
{
    for (const auto& model : models)
    {
        m_orders.add_model(model, "1");
    }
}

void engine_api::handle(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    for (const auto& route : m_routes)
    {
        if (route.http_method != request.method ||
            !absl::StartsWith(request.path, route.prefix))
        {
            continue;
        }
        if (absl::StartsWith(route.prefix, "/standin/"))
        {
            (this->*route.answer)(exchange);
            return;
        }
        m_faults.begin(exchange, [this, exchange, answer = route.answer]
                       { (this->*answer)(exchange); });
        return;
    }
    exchange->respond(error_response(404, "no such path"));
}

void engine_api::generate(const exchange_ptr& exchange)
{
    try
    {
        auto request = read_generation(exchange->request());
        if (m_faults.state().is_leaving)
        {
            exchange->respond(not_run_response(503, "leaving"));
            return;
        }
        if (!m_orders.holds(request.model))
        {
            exchange->respond(not_run_response(404, "model not loaded"));
            return;
        }
        m_core.start(std::move(request), exchange);
    }
    catch (const json_error& error)
    {
        exchange->respond(not_run_response(400, error.what()));
    }
}

void engine_api::resume(const exchange_ptr& exchange)
{
    const auto& request = exchange->request();
    std::int64_t from = 0;
    (void)absl::SimpleAtoi(request.parameter("from"), &from);
    if (!m_core.resume(last_segment(request.path), from, exchange))
    {
        exchange->respond(not_run_response(404, "no such stream"));
    }
}

void engine_api::cancel(const exchange_ptr& exchange)
{
    const bool is_known = m_core.cancel(last_segment(exchange->request().path));
    exchange->respond(is_known ? json_response(200, boost::json::object{})
                               : error_response(404, "no such stream"));
}

void engine_api::export_kv(const exchange_ptr& exchange)
{
    const auto blocks =
        m_core.export_blocks(last_segment(exchange->request().path));
    boost::json::array shown(blocks.begin(), blocks.end());
    const auto count = static_cast<std::int64_t>(blocks.size());
    m_timers.after(absl::Microseconds(m_options.kv_block_us * count),
                   [exchange, shown]
                   {
                       exchange->respond(json_response(
                           200, boost::json::object{{"blocks", shown}}));
                   });
}

void engine_api::import_kv(const exchange_ptr& exchange)
{
    try
    {
        const auto fields = parse_object(exchange->request().body);
        const auto* blocks = find_array(fields, "blocks");
        if (blocks == nullptr)
        {
            throw json_error("field 'blocks' must be given, as an array");
        }
        std::vector<std::uint64_t> hashes;
        for (const auto& block : *blocks)
        {
            hashes.push_back(block.to_number<std::uint64_t>());
        }
        m_core.import_blocks(hashes);
        exchange->respond(
            json_response(200, boost::json::object{{"blocks", hashes.size()}}));
    }
    catch (const std::exception& error)
    {
        exchange->respond(error_response(400, error.what()));
    }
}

void engine_api::show_load(const exchange_ptr& exchange)
{
    const auto faults = m_faults.state();
    const auto load = m_core.load(absl::Milliseconds(faults.lag_ms));
    exchange->respond(json_response(
        200, boost::json::object{{"running", load.running},
                                 {"waiting", load.waiting},
                                 {"cached_blocks", load.cached_blocks},
                                 {"leaving", faults.is_leaving},
                                 {"as_of_ms", absl::ToUnixMillis(load.time)}}));
}

void engine_api::show_cache_events(const exchange_ptr& exchange)
{
    std::int64_t from = 0;
    (void)absl::SimpleAtoi(exchange->request().parameter("from"), &from);
    const auto faults = m_faults.state();
    const auto latest = absl::Now() - absl::Milliseconds(faults.lag_ms);
    boost::json::array shown;
    std::int64_t next = from;
    for (const auto& event : m_core.cache_events(from))
    {
        if (event.time > latest)
        {
            break;
        }
        next = event.number + 1;
        if (faults.gap_every > 0 && event.number % faults.gap_every == 0)
        {
            continue;
        }
        shown.push_back(boost::json::object{{"number", event.number},
                                            {"stored", event.is_stored},
                                            {"block", event.block}});
    }
    exchange->respond(json_response(
        200, boost::json::object{{"next", next}, {"events", shown}}));
}

void engine_api::take_order(const exchange_ptr& exchange)
{
    auto response = m_orders.order(exchange->request());
    const bool is_lost = m_faults.take_lost_answer();
    exchange->respond(is_lost ? error_response(504, "the answer is lost")
                              : std::move(response));
}

void engine_api::show_orders(const exchange_ptr& exchange)
{
    exchange->respond(m_orders.show());
}

void engine_api::set_faults(const exchange_ptr& exchange)
{
    try
    {
        m_faults.set(parse_object(exchange->request().body));
        exchange->respond(json_response(200, boost::json::object{}));
    }
    catch (const json_error& error)
    {
        exchange->respond(error_response(400, error.what()));
    }
}

void engine_api::show_received(const exchange_ptr& exchange)
{
    boost::json::array shown;
    for (const auto& entry : m_core.received())
    {
        shown.push_back(boost::json::object{{"attempt", entry.attempt},
                                            {"request", entry.request},
                                            {"state", entry.state}});
    }
    exchange->respond(
        json_response(200, boost::json::object{{"received", shown}}));
}

void engine_api::show_computed(const exchange_ptr& exchange)
{
    boost::json::array shown;
    for (const auto& entry : m_core.computed_blocks())
    {
        shown.push_back(
            boost::json::object{{"time_us", absl::ToUnixMicros(entry.time)},
                                {"block", entry.block},
                                {"attempt", entry.attempt}});
    }
    exchange->respond(
        json_response(200, boost::json::object{{"computed", shown}}));
}

} // namespace daleshelf::standin
