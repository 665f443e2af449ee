#include "temporary_folder.hpp"

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <stdlib.h>

namespace daleshelf::test
{

temporary_folder::temporary_folder()
    : m_path(std::filesystem::temp_directory_path() / "daleshelf-XXXXXX")
{
    if (::mkdtemp(m_path.data()) == nullptr)
    {
        throw std::runtime_error("no temporary folder");
    }
}

temporary_folder::~temporary_folder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

std::string temporary_folder::write(const std::string& name,
                                    const std::string& text) const
{
    auto path = m_path + "/" + name;
    std::ofstream(path) << text;
    return path;
}

} // namespace daleshelf::test
