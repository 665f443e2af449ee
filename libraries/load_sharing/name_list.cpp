#include "name_list.hpp"

#include <algorithm>

namespace daleshelf
{

namespace
{

/// Lengths of a name's parts.
struct name_lengths
{
    std::size_t shared = 0; ///< with the name before
    std::size_t rest = 0;
};

constexpr std::size_t half_bits = 4;
constexpr std::size_t max_half = 15;

// One byte: the shared length in the upper half, the other one in the lower. If
// one is too large, the byte is 0 and a byte for each follows.
void add_lengths(std::size_t shared, std::size_t rest, std::string& bytes)
{
    if (shared <= max_half && rest <= max_half)
    {
        bytes.push_back(static_cast<char>(shared << half_bits | rest));
        return;
    }
    bytes.push_back('\0');
    bytes.push_back(static_cast<char>(shared));
    bytes.push_back(static_cast<char>(rest));
}

// Removes the lengths from the bytes, which are not empty.
std::optional<name_lengths> take_lengths(std::string_view& bytes)
{
    const auto at = [&](std::size_t position) -> std::size_t
    { return static_cast<unsigned char>(bytes[position]); };
    const auto first = at(0);
    if (first != 0)
    {
        bytes.remove_prefix(1);
        return name_lengths{first >> half_bits, first & max_half};
    }
    if (bytes.size() < 3)
    {
        return std::nullopt;
    }
    const name_lengths lengths{at(1), at(2)};
    bytes.remove_prefix(3);
    return lengths;
}

} // namespace

std::string encode_names(const std::vector<std::string_view>& names)
{
    std::string bytes;
    std::string_view before;
    for (const auto name : names)
    {
        const auto end = std::mismatch(name.begin(), name.end(), before.begin(),
                                       before.end())
                             .first;
        const auto shared = static_cast<std::size_t>(end - name.begin());
        const auto rest = name.substr(shared);
        add_lengths(shared, rest.size(), bytes);
        bytes.append(rest);
        before = name;
    }
    return bytes;
}

std::optional<std::vector<std::string>> decode_names(std::string_view bytes,
                                                     std::size_t limit)
{
    std::vector<std::string> names;
    std::string name;
    while (!bytes.empty())
    {
        const auto lengths = take_lengths(bytes);
        if (!lengths || names.size() == limit)
        {
            return std::nullopt;
        }
        const auto [shared, length] = *lengths;
        if (shared > name.size() || length > bytes.size() ||
            shared + length > max_listed_name)
        {
            return std::nullopt;
        }
        auto next = name.substr(0, shared).append(bytes.substr(0, length));
        if (next <= name)
        {
            return std::nullopt;
        }
        bytes.remove_prefix(length);
        names.push_back(next);
        name = std::move(next);
    }
    return names;
}

} // namespace daleshelf
