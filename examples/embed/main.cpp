/// @file
/// Two hosts compete for a lease and settle a race of two changes, with a
/// vector in place of a log service: the coordination parts do no I/O, so
/// any log and any clock will do.
#include <absl/time/time.h>

#include <iostream>
#include <leases/lease_keeper.hpp>
#include <resources/resource_store.hpp>
#include <string>
#include <vector>

namespace
{

using namespace daleshelf;

/// A log that is always there.
struct log
{
    std::vector<std::string> records;

    log_read_result read(log_offset from) const
    {
        log_read_result result;
        result.state = log_read_result::outcome::records;
        const auto end = static_cast<std::int64_t>(records.size());
        result.next = log_offset(end);
        for (auto i = from.value(); i < end; ++i)
        {
            result.records.push_back(
                {log_offset(i), records[static_cast<std::size_t>(i)]});
        }
        return result;
    }
};

void tick(lease_keeper& keeper, log& leases, absl::Time now)
{
    for (const auto& action : keeper.on_tick(now))
    {
        if (const auto* read = std::get_if<read_leases>(&action))
        {
            keeper.on_records(leases.read(read->from), now);
            continue;
        }
        leases.records.push_back(std::get<append_lease>(action).data);
        log_append_result appended;
        appended.state = log_append_result::outcome::appended;
        keeper.on_appended(appended, now);
    }
}

void compete_for_lease()
{
    log leases;
    const lease_name name("planner/a");
    lease_keeper one(name, host_id("one"), incarnation(1), lease_options(), 1);
    lease_keeper two(name, host_id("two"), incarnation(1), lease_options(), 2);
    auto now = absl::UnixEpoch();
    for (int i = 0; i < 8; ++i)
    {
        now += absl::Milliseconds(500);
        tick(one, leases, now);
        tick(two, leases, now);
    }
    std::cout << "one holds the lease: " << one.held(now).has_value()
              << ", two holds it: " << two.held(now).has_value() << "\n";
}

void settle_race()
{
    const auto make = [](const std::string& id)
    {
        change_operation operation;
        operation.key = {resource_kind::model, "m"};
        operation.expected_version = resource_version(0);
        operation.body = {{"weights", id}};
        return change{change_id(id), {operation}};
    };
    resource_store store;
    store.apply(log_offset(0), to_record({make("first")}));
    store.apply(log_offset(1), to_record({make("second")}));
    for (const auto* id : {"first", "second"})
    {
        const auto outcome = store.find_change(change_id(id));
        std::cout << id << ": " << to_string(outcome->what) << "\n";
    }
}

} // namespace

int main()
{
    compete_for_lease();
    settle_race();
    return 0;
}
