/// @file
/// What the fuzz targets have in common.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

namespace daleshelf::fuzz
{

/// One input: its first byte says which reader gets the rest.
class fuzz_input
{
public:
    fuzz_input(const std::uint8_t* bytes, std::size_t size)
        : m_bytes(reinterpret_cast<const char*>(bytes), size) // NOLINT
    {
    }

    /// @return a number below `most`, and takes the byte that it came from
    std::size_t take_choice(std::size_t most)
    {
        if (m_bytes.empty())
        {
            return 0;
        }
        const auto byte = static_cast<unsigned char>(m_bytes.front());
        m_bytes.remove_prefix(1);
        return byte % most;
    }

    [[nodiscard]] std::string_view rest() const
    {
        return m_bytes;
    }

private:
    std::string_view m_bytes;
};

/// Ends the run with a find unless `holds`.
inline void require(bool holds, std::string_view what)
{
    if (!holds)
    {
        std::cerr << "does not hold: " << what << '\n';
        std::abort();
    }
}

} // namespace daleshelf::fuzz
