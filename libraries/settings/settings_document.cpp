#include "settings_document.hpp"

#include <toml++/toml.h>

#include <algorithm>
#include <sstream>
#include <utility>

namespace daleshelf
{

struct settings_document::contents
{
    toml::table table;
};

namespace
{

std::string join(const std::vector<std::string>& values)
{
    std::string text;
    for (const auto& value : values)
    {
        text += text.empty() ? "" : ", ";
        text += value;
    }
    return text;
}

std::string range_text(const setting_limits& limits, const std::string& unit)
{
    std::string text = "a whole number";
    if (!unit.empty())
    {
        text += " of " + unit;
    }
    text += " from " + std::to_string(limits.least);
    if (limits.most != INT64_MAX)
    {
        text += " to " + std::to_string(limits.most);
    }
    return text;
}

template <typename Visitor>
void visit_leaves(const toml::table& table, const std::string& prefix,
                  const Visitor& visitor)
{
    for (const auto& [name, node] : table)
    {
        const auto key = prefix + std::string(name.str());
        if (const auto* inner = node.as_table())
        {
            visit_leaves(*inner, key + ".", visitor);
            continue;
        }
        visitor(key);
    }
}

} // namespace

settings_document::settings_document(const std::string& path)
    : m_path(path), m_contents(std::make_unique<contents>())
{
    try
    {
        m_contents->table = toml::parse_file(path);
    }
    catch (const toml::parse_error& error)
    {
        settings_fault fault;
        fault.file = path;
        fault.line = static_cast<int>(error.source().begin.line);
        fault.found = std::string(error.description());
        fault.allowed = "a readable TOML file";
        throw settings_error({fault});
    }
}

settings_document::~settings_document() = default;

int settings_document::line_of(const std::string& key) const
{
    const auto node = m_contents->table.at_path(key);
    return node ? static_cast<int>(node.node()->source().begin.line) : 0;
}

std::string settings_document::text_of(const std::string& key) const
{
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return "nothing";
    }
    std::ostringstream text;
    node.node()->visit([&text](const auto& value) { text << value; });
    return text.str();
}

void settings_document::add_fault(const std::string& key,
                                  const std::string& found,
                                  const std::string& allowed)
{
    m_faults.push_back({m_path, line_of(key), key, found, allowed});
}

void settings_document::require(const std::string& key)
{
    if (!m_contents->table.at_path(key))
    {
        add_fault(key, "nothing", "this key is required");
    }
}

void settings_document::read(const std::string& key,
                             const setting_limits& limits, std::string& target)
{
    m_known.insert(key);
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return;
    }
    const auto value = node.value_exact<std::string>();
    const auto& choices = limits.choices;
    const bool is_allowed =
        value && (choices.empty() || std::find(choices.begin(), choices.end(),
                                               *value) != choices.end());
    if (!is_allowed)
    {
        add_fault(key, text_of(key),
                  choices.empty() ? "a text" : "one of " + join(choices));
        return;
    }
    target = *value;
}

void settings_document::read(const std::string& key,
                             const setting_limits& limits, std::int64_t& target)
{
    m_known.insert(key);
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return;
    }
    const auto value = node.value_exact<std::int64_t>();
    if (!value || *value < limits.least || *value > limits.most)
    {
        add_fault(key, text_of(key), range_text(limits, ""));
        return;
    }
    target = *value;
}

void settings_document::read(const std::string& key,
                             const setting_limits& limits, double& target)
{
    m_known.insert(key);
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return;
    }
    const auto value = node.value<double>();
    if (!value || *value < static_cast<double>(limits.least) ||
        *value > static_cast<double>(limits.most))
    {
        add_fault(key, text_of(key), range_text(limits, ""));
        return;
    }
    target = *value;
}

void settings_document::read(const std::string& key, const setting_limits&,
                             bool& target)
{
    m_known.insert(key);
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return;
    }
    const auto value = node.value_exact<bool>();
    if (!value)
    {
        add_fault(key, text_of(key), "true or false");
        return;
    }
    target = *value;
}

void settings_document::read(const std::string& key,
                             const setting_limits& limits,
                             std::chrono::milliseconds& target)
{
    std::int64_t count = target.count();
    const auto faults = m_faults.size();
    read(key, limits, count);
    if (m_faults.size() > faults)
    {
        m_faults.back().allowed = range_text(limits, "milliseconds");
        return;
    }
    target = std::chrono::milliseconds(count);
}

void settings_document::read(const std::string& key, const setting_limits&,
                             std::vector<std::string>& target)
{
    m_known.insert(key);
    const auto node = m_contents->table.at_path(key);
    if (!node)
    {
        return;
    }
    const auto* array = node.as_array();
    std::vector<std::string> values;
    if (array != nullptr)
    {
        for (const auto& element : *array)
        {
            const auto value = element.value_exact<std::string>();
            if (!value)
            {
                array = nullptr;
                break;
            }
            values.push_back(*value);
        }
    }
    if (array == nullptr)
    {
        add_fault(key, text_of(key), "a list of texts");
        return;
    }
    target = std::move(values);
}

void settings_document::find_unknown_keys()
{
    visit_leaves(m_contents->table, "",
                 [this](const std::string& key)
                 {
                     if (!m_known.contains(key))
                     {
                         add_fault(key, "an unknown key",
                                   "the keys in docs/SETTINGS.md");
                     }
                 });
}

void settings_document::finish()
{
    find_unknown_keys();
    if (!m_faults.empty())
    {
        throw settings_error(std::move(m_faults));
    }
}

} // namespace daleshelf
