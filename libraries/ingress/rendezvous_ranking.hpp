/// @file
/// Ranks upstreams by rendezvous hashing.
#pragma once

#include "request_facts.hpp"
#include "server_directory.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace daleshelf
{

/// @param prompt the parts of a prompt, at least one
/// @return the key by which all hosts rank upstreams for the prompt: that of
/// the last part that other requests may share. The very last part belongs to
/// the request or its session alone.
[[nodiscard]] std::uint64_t
rendezvous_key(const std::vector<prompt_part>& prompt);

/// @return the upstream that ranks highest for a key, or null if there is none
[[nodiscard]] const server_entry*
highest_ranked(const std::vector<hashed_server>& servers, std::uint64_t key);

/// @param count maximum number of upstreams
/// @return those that rank highest for a key, in no particular order
[[nodiscard]] std::vector<hashed_server>
highest_ranked(std::vector<hashed_server> servers, std::uint64_t key,
               std::size_t count);

} // namespace daleshelf
