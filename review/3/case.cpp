// An entry of another writer, deeply nested, in the store's list of servers.

#include "../standin/site.hpp"

using namespace review;

namespace {

constexpr int gateways = 2;
constexpr int ends_that_break = 3;
constexpr milliseconds restart_delay{1000};

/** A runner of the plain service. */
bool answer_booking(const request &it, connection &peer) {
    pause_for(milliseconds{20});
    return peer.send(answer_text(200, "booked " + it.field("attempt-id"),
                                 "Attempt-Id: " + it.field("attempt-id") + "\r\nResponse-Signature: s1\r\n"));
}

/** Spec with every field of a server's entry, one of them of another type. */
std::string foreign_spec(std::size_t depth) {
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    return R"({"Service":"desk","Address":)" + nested +
           R"(,"Zone":"rajkot","Version":"v1","Slots":6,"State":"ready","ColdRemainingMs":0,"Sequence":1})";
}

} // namespace

int main(int argc, char **argv) {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const auto folder = temporary_folder();
    platform_store store;
    http_server desk{&answer_booking};
    store.put("config", "main", site_config(1).dump());
    store.put("servers", "desk-1", server_entry("desk", desk.address(), "rajkot", 6).dump());
    std::vector<std::unique_ptr<gateway_process>> all;
    for (int n = 0; n < gateways; ++n) {
        all.push_back(std::make_unique<gateway_process>("front-" + std::to_string(n + 1), store.address(), folder));
        if (!all.back()->start() || !all.back()->wait_ready(milliseconds{10'000})) {
            finish(record, exit_not_run, "a gateway did not become ready");
        }
    }
    std::map<std::string, int> ends;
    int served = 0;
    int sent = 0;
    // A quiet time first, so that a process that ends without cause is seen, too.
    const auto begun = clock_type::now();
    bool written = false;
    while (clock_type::now() < begun + milliseconds{15'000}) {
        if (!written && clock_type::now() > begun + milliseconds{3000}) {
            written = true;
            record.line("booked so far: " + std::to_string(served) + " of " + std::to_string(sent));
            if (disrupted()) {
                const auto spec = foreign_spec(300'000);
                record.line("another writer creates servers/printer-7, Spec of " + std::to_string(spec.size()) +
                            " bytes");
                store.put("servers", "printer-7", spec);
            }
        }
        for (auto &it : all) {
            if (!it->running()) {
                ++ends[it->name()];
                record.line(it->name() + " ended by itself, signal " + std::to_string(it->end_signal()));
                pause_for(restart_delay);
                record.line(it->name() + (it->start() ? " was started again" : " did not come up"));
                continue;
            }
            ++sent;
            const auto id = "a" + std::to_string(sent);
            const auto got = send_request(it->callers(), request_text("POST", "/book/x", id, 1500, "", "engagement"),
                                          milliseconds{1500});
            served += got.status == 200 && got.complete ? 1 : 0;
            record.line(id + " at " + it->name() + ": " + std::to_string(got.status));
        }
        pause_for(milliseconds{100});
    }
    int broken = 0;
    for (const auto &[name, n] : ends) {
        broken += n >= ends_that_break ? 1 : 0;
    }
    record.line("booked: " + std::to_string(served) + " of " + std::to_string(sent));
    if (broken >= gateways) {
        finish(record, exit_broken, "all gateways ended by themselves three times or more");
    }
    finish(record, exit_held, "the gateways went on");
}
