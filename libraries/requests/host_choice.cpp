#include "host_choice.hpp"

#include <algorithm>
#include <base/digest.hpp>

namespace daleshelf
{

namespace
{

constexpr char id_prefix[] = "req-";

std::uint64_t rank(const request_id& id, const host_id& host)
{
    return stable_hash(host.value(), stable_hash(id.value()));
}

} // namespace

std::optional<host_id>
choose_replica(const request_id& id, const hall_id& own_hall,
               const std::vector<copy_candidate>& candidates)
{
    const copy_candidate* best = nullptr;
    const auto is_better = [&](const copy_candidate& item)
    {
        if (best == nullptr)
        {
            return true;
        }
        const bool is_elsewhere = item.hall != own_hall;
        const bool is_best_elsewhere = best->hall != own_hall;
        if (is_elsewhere != is_best_elsewhere)
        {
            return is_elsewhere;
        }
        return rank(id, item.host) > rank(id, best->host);
    };
    for (const auto& item : candidates)
    {
        if (!item.is_reachable || item.is_leaving || !is_better(item))
        {
            continue;
        }
        best = &item;
    }
    return best == nullptr ? std::nullopt : std::optional(best->host);
}

std::vector<host_id> search_order(const request_id& id,
                                  const std::vector<copy_candidate>& candidates)
{
    std::vector<host_id> order;
    for (const auto& item : candidates)
    {
        if (item.is_reachable)
        {
            order.push_back(item.host);
        }
    }
    const auto owner = accepting_host(id);
    std::sort(order.begin(), order.end(),
              [&](const host_id& left, const host_id& right)
              {
                  const bool is_left_owner = left == owner;
                  const bool is_right_owner = right == owner;
                  if (is_left_owner != is_right_owner)
                  {
                      return is_left_owner;
                  }
                  return rank(id, left) > rank(id, right);
              });
    return order;
}

host_id accepting_host(const request_id& id)
{
    // "req-<host>-<incarnation>-<number>"; a host's name may hold dashes.
    const auto& text = id.value();
    const auto number = text.rfind('-');
    if (text.rfind(id_prefix, 0) != 0 || number == std::string::npos ||
        number == 0)
    {
        return {};
    }
    const auto start = text.rfind('-', number - 1);
    constexpr std::size_t prefix_length = sizeof(id_prefix) - 1;
    if (start == std::string::npos || start < prefix_length)
    {
        return {};
    }
    return host_id(text.substr(prefix_length, start - prefix_length));
}

request_id make_request_id(const host_id& host,
                           const std::string& incarnation_name,
                           std::uint64_t number)
{
    return request_id(id_prefix + host.value() + "-" + incarnation_name + "-" +
                      std::to_string(number));
}

} // namespace daleshelf
