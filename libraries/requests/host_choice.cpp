#include "host_choice.hpp"

#include <algorithm>
#include <base/digest.hpp>

namespace daleshelf
{

namespace
{

constexpr char id_prefix[] = "req-";

std::uint64_t rendezvous_weight(const request_id& id, const host_id& host)
{
    return stable_hash(host.value(), stable_hash(id.value()));
}

} // namespace

std::optional<host_id>
choose_replica(const request_id& id, const hall_id& own_hall,
               const std::vector<copy_candidate>& candidates)
{
    const copy_candidate* best = nullptr;
    const auto is_better = [&](const copy_candidate& candidate)
    {
        if (best == nullptr)
        {
            return true;
        }
        const bool is_in_other_hall = candidate.hall != own_hall;
        const bool is_best_in_other_hall = best->hall != own_hall;
        if (is_in_other_hall != is_best_in_other_hall)
        {
            return is_in_other_hall;
        }
        return rendezvous_weight(id, candidate.host) >
               rendezvous_weight(id, best->host);
    };
    for (const auto& candidate : candidates)
    {
        if (!candidate.is_reachable || candidate.is_leaving ||
            !is_better(candidate))
        {
            continue;
        }
        best = &candidate;
    }
    return best == nullptr ? std::nullopt : std::optional(best->host);
}

std::vector<host_id> search_order(const request_id& id,
                                  const std::vector<copy_candidate>& candidates)
{
    std::vector<host_id> order;
    for (const auto& candidate : candidates)
    {
        if (candidate.is_reachable)
        {
            order.push_back(candidate.host);
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
                  return rendezvous_weight(id, left) >
                         rendezvous_weight(id, right);
              });
    return order;
}

host_id accepting_host(const request_id& id)
{
    // "req-<host>-<incarnation>-<number>"; a host name can contain dashes.
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
