/// @file
/// One request in a stand-in engine.
#pragma once

#include "token_generator.hpp"

#include <absl/time/time.h>

#include <cstdint>
#include <http/forward.hpp>
#include <memory>
#include <string>
#include <vector>

namespace daleshelf::standin
{

/// What a caller asks an engine to generate.
struct generation_request
{
    std::string model;
    std::string attempt; ///< `X-Attempt-Id`
    std::string request; ///< `X-Request-Id`
    std::vector<std::string> prompt;
    std::vector<std::string> continuation; ///< answer so far, made elsewhere
    std::int64_t max_tokens = 16;          ///< of the whole answer
    std::int64_t priority = 0;             ///< higher goes first
    bool is_chat = false;
};

/// A sequence of the batch and its stream.
struct sequence
{
    std::string id;
    generation_request request;
    token_generator generator;
    std::vector<std::uint64_t> blocks = {}; ///< of prompt and continuation
    std::int64_t arrival = 0;
    std::int64_t prefill_left = 0;
    std::int64_t cached_tokens = 0;
    std::int64_t prefilled_tokens = 0;
    bool is_admitted = false;
    bool is_finished = false;
    bool is_cancelled = false;
    std::vector<std::string> produced = {}; ///< from position `first_position`
    std::int64_t first_position = 0;
    absl::Time reader_left = absl::InfiniteFuture();
    std::shared_ptr<http_exchange> reader = nullptr;

    [[nodiscard]] std::int64_t next_position() const
    {
        return first_position + static_cast<std::int64_t>(produced.size());
    }
};

} // namespace daleshelf::standin
