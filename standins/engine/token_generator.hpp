/// @file
/// The tokens that a stand-in engine answers with.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace daleshelf::standin
{

/// @param text a prompt or an answer
/// @return its tokens: the words between white space
[[nodiscard]] std::vector<std::string> tokenize(std::string_view text);

/// Gives the same answer to the same prompt on every engine, so that a test
/// can tell whether an answer is whole.
class token_generator
{
public:
    /// @param model name of the model
    /// @param prompt the prompt's tokens, without any part of an answer
    token_generator(std::string_view model,
                    const std::vector<std::string>& prompt);

    /// @param position position in the answer, from 0
    /// @return the token's text, with a space before it
    [[nodiscard]] std::string token(std::int64_t position) const;

    /// @param count number of tokens
    /// @return the whole answer of that length
    [[nodiscard]] std::string answer(std::int64_t count) const;

private:
    std::uint64_t m_seed;
};

} // namespace daleshelf::standin
