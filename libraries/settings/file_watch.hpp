/// @file
/// Notices that a file has been written.
#pragma once

#include <filesystem>
#include <string>

namespace daleshelf
{

/// Compares a file's time of writing with the one seen before.
class file_watch
{
public:
    /// @param path may name a file that is not there yet
    explicit file_watch(std::string path)
        : m_path(std::move(path)), m_seen(written_at())
    {
    }

    /// @return whether the file was written since the last call, or since the
    /// construction; a file that is gone has not changed
    [[nodiscard]] bool has_changed()
    {
        const auto written = written_at();
        const bool is_news = written != m_seen && written != time_type::min();
        m_seen = written;
        return is_news;
    }

private:
    using time_type = std::filesystem::file_time_type;

    [[nodiscard]] time_type written_at() const
    {
        std::error_code error;
        const auto time = std::filesystem::last_write_time(m_path, error);
        return error ? time_type::min() : time;
    }

    std::string m_path;
    time_type m_seen;
};

} // namespace daleshelf
