/// @file
/// Stand-in for a model engine. See docs/STANDINS.md.
#include "engine_api.hpp"

#include <standins/common/program.hpp>

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    using namespace daleshelf::standin;
    engine_options engine;
    std::vector<std::string> models;
    std::int64_t linger_ms = 0;
    options::options_description description("Stand-in for a model engine");
    add_common_options(description);
    auto add = description.add_options();
    add("model", options::value(&models), "a model held from the start");
    add("max-batch", options::value(&engine.max_batch)->default_value(16),
        "sequences in one step");
    add("prefill-tokens",
        options::value(&engine.prefill_tokens)->default_value(512),
        "prompt tokens in one step");
    add("step-us", options::value(&engine.step_us)->default_value(2000),
        "fixed time of a step");
    add("decode-us", options::value(&engine.decode_us)->default_value(100),
        "further time a decoding sequence");
    add("prefill-us", options::value(&engine.prefill_us)->default_value(20),
        "further time a prompt token");
    add("cache-blocks",
        options::value(&engine.cache_blocks)->default_value(4096),
        "blocks of 16 tokens in the prefix cache");
    add("kv-block-us", options::value(&engine.kv_block_us)->default_value(200),
        "time to export one block");
    add("load-ms", options::value(&engine.load_ms)->default_value(200),
        "time to load a model");
    add("linger-ms", options::value(&linger_ms)->default_value(20000),
        "how long a stream goes on without a reader");
    const auto values = read_command_line(argc, argv, description);
    engine.linger = absl::Milliseconds(linger_ms);
    engine_api api(engine, models);
    return serve(
        values,
        [&api](const std::shared_ptr<daleshelf::http_exchange>& exchange)
        { api.handle(exchange); });
}
