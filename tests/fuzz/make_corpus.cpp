/// @file
/// Writes the first inputs of the fuzz targets by the project's own writers.
/// Usage: make_corpus FOLDER

#include <filesystem>
#include <fstream>
#include <iostream>
#include <load_sharing/load_message.hpp>
#include <peers/host_state.hpp>
#include <peers/topic_records.hpp>
#include <peers/window_counts.hpp>
#include <platform/rollout_format.hpp>
#include <platform/store_calls.hpp>
#include <quotas/quota_message.hpp>
#include <rollouts/rollout_message.hpp>
#include <string>
#include <upstream_limits/limit_message.hpp>
#include <upstream_limits/slot_message.hpp>
#include <vector>

namespace
{

using namespace daleshelf;

/// The inputs of one target: the reader's number, then what it reads.
class corpus
{
public:
    explicit corpus(std::filesystem::path folder) : m_folder(std::move(folder))
    {
        std::filesystem::create_directories(m_folder);
    }

    void add(std::size_t reader, const std::string& bytes)
    {
        const auto name = std::to_string(m_count++);
        std::ofstream file(m_folder / name, std::ios::binary);
        file << static_cast<char>(reader) << bytes;
    }

private:
    std::filesystem::path m_folder;
    int m_count = 0;
};

const std::string entry =
    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
    R"("slots":6,"state":"ready","coldRemainingMs":0,"sequence":7,)"
    R"("born":1764720000123,"models":[{"name":"m","version":1}]})";

const std::string configuration =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
    R"("kind":"streaming","timeoutMs":8000,"targetLatencyMs":1200,)"
    R"("trafficSplit":[{"service":"s","weight":90}],"maxAttempts":2,)"
    R"("streamResume":true}],"services":[{"name":"s","maxConnections":8,)"
    R"("engine":{"slots":9,"kvCapacityTokens":100},"scaling":{"min":1,)"
    R"("max":4,"bootTimeS":4.0,"spotPrice":0.2,"zonePrices":{"a":1.0}}}],)"
    R"("limits":{"maxHeaderBytes":16384},"tenants":[{"name":"t",)"
    R"("apiKeys":["k"],"unit":"token","ratePerS":9,"burst":9}]})";

void write_store(const std::filesystem::path& folder)
{
    corpus inputs(folder);
    const auto record = platform::encode_keyed("i-1", entry);
    const auto body = platform::append_call("t", {record, record}, {}).body;
    inputs.add(0, std::string(16, '\0') + body);
    inputs.add(1, record);
    inputs.add(2, R"({"items":[{"privateKey":"a","value":"eA==","offset":4}],)"
                  R"("more":true,"end":6})");
    inputs.add(3, configuration);
    inputs.add(4, entry);
    inputs.add(5, R"({"service":"s","targetVersion":"v2","durationS":14})");
    rollout_status status;
    status.service = service_name("s");
    status.target = version_name("v2");
    inputs.add(5, platform::write_rollout_status(status));
    inputs.add(6, R"({"offset":3,"end":4})");
    inputs.add(7, R"({"kind":"grant","holder":"b","started":5})");
    inputs.add(7, R"({"kind":"usage","holder":"b","started":5,"window":9,)"
                  R"("counts":{"t":4}})");
}

void write_peers(const std::filesystem::path& folder)
{
    corpus inputs(folder);
    host_state state;
    state.self = {host_id("a"), "10.0.0.1:7"};
    state.started = incarnation(4);
    state.loads = {{upstream_id("s"), 2, 300}};
    state.counts = {{7, {{workspace_id("w"), 4}}}};
    state.known_hosts = {{host_id("b"), "10.0.0.2:7", hall_id("north")}};
    inputs.add(0, encode(state));
    shared_records records;
    records.topic = "keyed.servers";
    records.from = log_offset(3);
    records.next = log_offset(4);
    records.records = {{log_offset(3), "i-1", entry}};
    inputs.add(1, encode(records));
    window_counts counts;
    counts.window = 7;
    inputs.add(2, encode(counts));
    quota_message ask;
    ask.kind = quota_message_kind::grant_request;
    ask.workspace = workspace_id("w");
    ask.amount = 12.5;
    inputs.add(3, encode(ask));
    rollout_directive word;
    word.service = service_name("s");
    word.share = 0.1;
    inputs.add(4, encode(word));
    rollout_report report;
    report.service = service_name("s");
    inputs.add(5, encode(report));
    const limit_record named{{upstream_id("i-1"), upstream_birth(9)},
                             2.5,
                             absl::FromUnixMillis(1000)};
    ask.upstream = named.server.id;
    ask.limit = named;
    inputs.add(3, encode(ask));
    constexpr int slots_reader = 10;
    slot_message slot;
    slot.kind = slot_message_kind::request;
    slot.from = host_id("a");
    slot.from_incarnation = incarnation(4);
    slot.sequence = 3;
    slot.uses = {{named.server, 6, 1.0, 2, 3, 1}};
    inputs.add(slots_reader, encode(slot));
    constexpr int limits_reader = 7;
    inputs.add(limits_reader, encode_limits({named}));
    load_message loads;
    loads.scope = load_scope::fleet;
    loads.host = host_id("a");
    loads.hall = hall_id("north");
    loads.started = incarnation(4);
    loads.sequence = 7;
    loads.report.loads[upstream_id("i-1")] = {2, 300, 4000};
    loads.report.loads[upstream_id("i-2")] = {1, 0, 900};
    loads.report.slowdowns[upstream_id("i-2")] = 2.5;
    loads.report.demand = {{service_name("s"), workspace_id("w"), 3, 1.5}};
    loads.included = {{host_id("b"), 12}, {host_id("c"), 13}};
    constexpr int loads_reader = 9;
    inputs.add(loads_reader, encode(loads));
}

// The second byte says where the input is cut.
void write_http(const std::filesystem::path& folder)
{
    corpus inputs(folder);
    inputs.add(0, "\x20"
                  "POST /a/2f HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c41\r\n"
                  "X-Token-Count: 1460,80\r\nX-Prompt-Prefix: 5c:800,91:410\r\n"
                  "X-Deadline-Ms: 8000\r\nContent-Length: 4\r\n\r\nbody");
    inputs.add(0, "\x30"
                  "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    inputs.add(1, "\x15"
                  "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41\r\n"
                  "X-Weight-Versions: 3\r\nKeep-Alive: timeout=5\r\n"
                  "Content-Length: 2\r\n\r\nok");
    inputs.add(1, "\x15"
                  "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n");
    inputs.add(2, "\x09"
                  "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\n");
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 2)
    {
        std::cerr << "usage: make_corpus FOLDER\n";
        return 2;
    }
    const std::filesystem::path folder(arguments[1]); // NOLINT
    write_store(folder / "store");
    write_peers(folder / "peers");
    write_http(folder / "http");
    return 0;
}
