/// @file
/// Speed and size of a stand-in engine.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

namespace daleshelf::standin
{

/// What one engine can do. Times may be scaled; a measurement says by how
/// much.
struct engine_options
{
    std::int64_t max_batch = 16;       ///< sequences in one step
    std::int64_t prefill_tokens = 512; ///< prompt tokens in one step
    std::int64_t step_us = 2000;       ///< fixed time of a step
    std::int64_t decode_us = 100;      ///< further time a decoding sequence
    std::int64_t prefill_us = 20;      ///< further time a prompt token
    std::int64_t cache_blocks = 4096;  ///< size of the prefix cache
    std::int64_t kv_block_us = 200;    ///< time to move one block
    std::int64_t load_ms = 200;        ///< time to load a model or adapter
    absl::Duration linger = absl::Seconds(20); ///< a stream without a reader
};

} // namespace daleshelf::standin
