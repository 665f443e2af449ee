#include "token_generator.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <array>
#include <base/digest.hpp>

namespace daleshelf::standin
{

std::vector<std::string> tokenize(std::string_view text)
{
    return absl::StrSplit(absl::string_view(text.data(), text.size()),
                          absl::ByAnyChar(" \t\r\n"), absl::SkipEmpty());
}

token_generator::token_generator(std::string_view model,
                                 const std::vector<std::string>& prompt)
    : m_seed(stable_hash(model))
{
    for (const auto& token : prompt)
    {
        m_seed = stable_hash(token, m_seed);
    }
}

std::string token_generator::token(std::int64_t position) const
{
    static constexpr std::array<std::string_view, 16> syllables{
        "ba", "ce", "di", "fo", "gu", "ha", "je", "ki",
        "lo", "mu", "na", "pe", "ri", "so", "tu", "va"};
    constexpr std::uint64_t syllable_count = syllables.size();
    const auto hash = stable_hash(std::to_string(position), m_seed);
    std::string text = " ";
    text += syllables.at(hash % syllable_count);
    text += syllables.at(hash / syllable_count % syllable_count);
    text +=
        syllables.at(hash / syllable_count / syllable_count % syllable_count);
    return text;
}

std::string token_generator::answer(std::int64_t count) const
{
    std::string text;
    for (std::int64_t position = 0; position < count; ++position)
    {
        text += token(position);
    }
    return text;
}

} // namespace daleshelf::standin
