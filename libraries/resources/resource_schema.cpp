#include "resource_schema.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace daleshelf
{

namespace
{

constexpr std::size_t longest_name = 128;
constexpr std::size_t sha256_digits = 64;

std::vector<field_rule> workspace_fields()
{
    return {
        {.name = "keys_sha256",
         .type = field_type::text_list,
         .is_required = true,
         .meaning = "SHA-256 of each bearer key, in hexadecimal digits"},
        {.name = "weight",
         .type = field_type::number,
         .least = 0.001,
         .most = 1000,
         .meaning = "share of the capacity against other workspaces"},
        {.name = "max_in_flight",
         .type = field_type::whole_number,
         .least = 1,
         .most = 100000,
         .meaning = "requests in flight on one entry host"},
    };
}

std::vector<field_rule> model_fields()
{
    return {
        {.name = "weights",
         .is_required = true,
         .meaning = "name in the weight store"},
        {.name = "weight_bytes",
         .type = field_type::whole_number,
         .meaning = "size in the weight store"},
        {.name = "context_tokens",
         .type = field_type::whole_number,
         .least = 1,
         .meaning = "longest prompt and answer together"},
    };
}

std::vector<field_rule> adapter_fields()
{
    return {
        {.name = "model",
         .is_required = true,
         .meaning = "the model that it adapts"},
        {.name = "weights",
         .is_required = true,
         .meaning = "name in the weight store"},
        {.name = "weight_bytes",
         .type = field_type::whole_number,
         .meaning = "size in the weight store"},
    };
}

std::vector<field_rule> deployment_fields()
{
    return {
        {.name = "model", .is_required = true, .meaning = "what is served"},
        {.name = "version", .meaning = "version of the model's weights"},
        {.name = "adapter", .meaning = "adapter put on the model"},
        {.name = "workspaces",
         .type = field_type::text_list,
         .meaning = "who may use it; empty: everybody"},
        {.name = "halls",
         .type = field_type::text_list,
         .meaning = "where it is served; empty: everywhere"},
        {.name = "replicas_per_hall",
         .type = field_type::whole_number,
         .most = 1000,
         .meaning = "upstreams that hold it in each hall"},
        {.name = "priority",
         .type = field_type::whole_number,
         .least = -100,
         .most = 100,
         .meaning = "which deployments get upstreams first"},
    };
}

std::vector<field_rule> upstream_fields()
{
    return {
        {.name = "type",
         .is_required = true,
         .meaning = "model engine or plain service",
         .choices = {"engine", "service"}},
        {.name = "url",
         .is_required = true,
         .meaning = "http://IP:PORT, without a path"},
        {.name = "hall", .is_required = true, .meaning = "where it runs"},
        {.name = "host", .meaning = "its host in the platform's list"},
        {.name = "service", .meaning = "the plain service that it serves"},
        {.name = "models",
         .type = field_type::text_list,
         .meaning = "models and adapters that it holds"},
        {.name = "machine_class", .meaning = "class in the price list"},
        {.name = "price_per_hour",
         .type = field_type::number,
         .meaning = "price until the price list is known"},
        {.name = "reclaimable",
         .type = field_type::truth,
         .meaning = "whether the platform may take it back"},
        {.name = "checks_fencing",
         .type = field_type::truth,
         .meaning = "whether it refuses orders with an old fencing token"},
        {.name = "max_concurrency",
         .type = field_type::whole_number,
         .least = 1,
         .most = 100000,
         .meaning = "requests in flight from one entry host"},
    };
}

std::vector<field_rule> service_fields()
{
    return {
        {.name = "workspaces",
         .type = field_type::text_list,
         .meaning = "who may call it; empty: everybody"},
        {.name = "repeatable_methods",
         .type = field_type::text_list,
         .meaning = "methods that may be sent twice; default GET and HEAD"},
        {.name = "timeout_ms",
         .type = field_type::whole_number,
         .least = 1,
         .most = 3600000,
         .meaning = "longest time of a call"},
    };
}

std::vector<field_rule> policy_fields()
{
    return {
        {.name = "default_deadline_ms",
         .type = field_type::whole_number,
         .least = 1,
         .most = 86400000,
         .meaning = "of requests that name none"},
        {.name = "max_attempts",
         .type = field_type::whole_number,
         .least = 1,
         .most = 20,
         .meaning = "upstreams tried for one request"},
        {.name = "retry_budget_percent",
         .type = field_type::number,
         .most = 100,
         .meaning = "retries against first attempts"},
        {.name = "routing",
         .meaning = "how upstreams are chosen; the last two are baselines",
         .choices = {"affinity", "least_in_flight", "round_robin"}},
        {.name = "fair_share",
         .meaning = "what workspaces are charged by while requests wait",
         .choices = {"work", "requests"}},
        {.name = "move",
         .meaning = "how requests leave a leaving upstream; all but the first "
                    "are for comparison",
         .choices = {"cheapest", "finish_only", "cache_only",
                     "recompute_only"}},
        {.name = "longest_queue_wait_ms",
         .type = field_type::whole_number,
         .most = 600000,
         .meaning = "longest predicted wait for an upstream; beyond it a "
                    "request is refused at once"},
        {.name = "first_token_target_ms",
         .type = field_type::whole_number,
         .least = 1,
         .most = 3600000,
         .meaning = "time to first token for 95 in 100"},
        {.name = "between_tokens_target_ms",
         .type = field_type::whole_number,
         .least = 1,
         .most = 3600000,
         .meaning = "time between tokens for 95 in 100"},
    };
}

bool has_type(const boost::json::value& value, field_type type)
{
    switch (type)
    {
    case field_type::text:
        return value.is_string();
    case field_type::whole_number:
        return value.is_int64() || value.is_uint64();
    case field_type::number:
        return value.is_number();
    case field_type::truth:
        return value.is_bool();
    case field_type::text_list:
        return value.is_array() &&
               std::all_of(value.get_array().begin(), value.get_array().end(),
                           [](const boost::json::value& item)
                           { return item.is_string(); });
    }
    return false;
}

std::string describe(const field_rule& rule)
{
    switch (rule.type)
    {
    case field_type::text:
        return rule.choices.empty()
                   ? "must be a string"
                   : "must be one of " + absl::StrJoin(rule.choices, ", ");
    case field_type::whole_number:
        return absl::StrCat("must be a whole number from ", rule.least, " to ",
                            rule.most);
    case field_type::number:
        return absl::StrCat("must be a number from ", rule.least, " to ",
                            rule.most);
    case field_type::truth:
        return "must be true or false";
    case field_type::text_list:
        return "must be an array of strings";
    }
    return "";
}

bool is_allowed(const boost::json::value& value, const field_rule& rule)
{
    if (!has_type(value, rule.type))
    {
        return false;
    }
    if (value.is_number())
    {
        const auto number = value.to_number<double>();
        return number >= rule.least && number <= rule.most;
    }
    if (value.is_string() && !rule.choices.empty())
    {
        const std::string text(value.get_string());
        return std::find(rule.choices.begin(), rule.choices.end(), text) !=
               rule.choices.end();
    }
    return true;
}

bool is_name(const std::string& name)
{
    const auto is_letter = [](unsigned char letter)
    {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '.' ||
               letter == '_';
    };
    return !name.empty() && name.size() <= longest_name &&
           std::all_of(name.begin(), name.end(), is_letter);
}

bool is_sha256(const boost::json::string& text)
{
    return text.size() == sha256_digits &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char letter)
                       { return std::isxdigit(letter) != 0; });
}

void check_workspace(const change_operation& operation,
                     std::vector<resource_fault>& faults)
{
    const auto* keys = operation.body.if_contains("keys_sha256");
    if (keys == nullptr || !has_type(*keys, field_type::text_list))
    {
        return;
    }
    for (const auto& key : keys->get_array())
    {
        if (!is_sha256(key.get_string()))
        {
            faults.push_back({operation.key, "keys_sha256",
                              "must hold 64 hexadecimal digits each"});
        }
    }
}

void check_upstream(const change_operation& operation,
                    std::vector<resource_fault>& faults)
{
    const auto* url = operation.body.if_contains("url");
    if (url == nullptr || !url->is_string())
    {
        return;
    }
    const std::string text(url->get_string());
    if (text.rfind("http://", 0) != 0 || text.back() == '/')
    {
        faults.push_back(
            {operation.key, "url", "must be http://IP:PORT, without a path"});
    }
}

} // namespace

const std::vector<field_rule>& schema(resource_kind kind)
{
    static const std::array schemas{workspace_fields(), model_fields(),
                                    adapter_fields(),   deployment_fields(),
                                    upstream_fields(),  service_fields(),
                                    policy_fields()};
    return schemas.at(static_cast<std::size_t>(kind));
}

std::vector<resource_fault> find_faults(const change_operation& operation)
{
    std::vector<resource_fault> faults;
    if (!is_name(operation.key.name))
    {
        faults.push_back({operation.key, "name",
                          "must be 1 to 128 letters, digits, '-', '.' or "
                          "'_'"});
    }
    if (operation.what == change_operation::action::remove)
    {
        return faults;
    }
    const auto& rules = schema(operation.key.kind);
    for (const auto& rule : rules)
    {
        const auto* value =
            operation.body.if_contains({rule.name.data(), rule.name.size()});
        if (value == nullptr)
        {
            if (rule.is_required)
            {
                faults.push_back(
                    {operation.key, std::string(rule.name), "is required"});
            }
            continue;
        }
        if (!is_allowed(*value, rule))
        {
            faults.push_back(
                {operation.key, std::string(rule.name), describe(rule)});
        }
    }
    for (const auto& field : operation.body)
    {
        const std::string name(field.key());
        const bool is_known = std::any_of(rules.begin(), rules.end(),
                                          [&name](const field_rule& rule)
                                          { return rule.name == name; });
        if (!is_known)
        {
            faults.push_back({operation.key, name, "is not a known field"});
        }
    }
    if (operation.key.kind == resource_kind::workspace)
    {
        check_workspace(operation, faults);
    }
    if (operation.key.kind == resource_kind::upstream)
    {
        check_upstream(operation, faults);
    }
    return faults;
}

} // namespace daleshelf
