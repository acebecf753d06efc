// An entry of another writer with text that can't be read, and a planned release of the runners.

#include "../standin/desk.hpp"
#include "../standin/site.hpp"

using namespace review;

namespace {

constexpr int gateways = 2;
constexpr milliseconds drain_limit{2000};
constexpr milliseconds contact{3000};
constexpr int requests_each = 12;
// As a writer escapes a byte that is no text: a lone surrogate.
constexpr const char *foreign_spec =
    R"({"Service":"desk","Address":"127.0.0.1:9","Zone":"\udcff","Version":"v1","Slots":6,"State":"ready","Sequence":1})";

} // namespace

int main(int argc, char **argv) {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const auto folder = temporary_folder();
    platform_store store;
    std::vector<std::unique_ptr<desk>> desks;
    const auto report = [&](desk &it, const char *state) {
        store.put("servers", it.id(), server_entry("desk", it.address(), "rajkot", 6, state).dump());
        record.line("the store acknowledges that " + it.id() + " is " + state);
    };
    store.put("config", "main", site_config(1).dump());
    for (int n = 1; n <= 2; ++n) {
        desks.push_back(std::make_unique<desk>("desk-" + std::to_string(n), record, drain_limit));
        report(*desks.back(), "ready");
    }
    std::vector<std::unique_ptr<gateway_process>> all;
    for (int n = 0; n < gateways; ++n) {
        all.push_back(std::make_unique<gateway_process>("front-" + std::to_string(n + 1), store.address(), folder));
        if (!all.back()->start() || !all.back()->wait_ready(milliseconds{10'000})) {
            finish(record, exit_not_run, "a gateway did not become ready");
        }
    }
    pause_for(2 * contact);
    const int before = book(all, record, "before", requests_each);
    if (before < gateways * requests_each * 9 / 10) {
        finish(record, exit_not_run, "the quiet site did not serve: " + std::to_string(before));
    }
    if (disrupted()) {
        store.put("servers", "printer-7", foreign_spec);
        record.line("another writer creates servers/printer-7");
    }
    pause_for(contact);
    for (int n = 3; n <= 4; ++n) {
        desks.push_back(std::make_unique<desk>("desk-" + std::to_string(n), record, drain_limit));
        report(*desks.back(), "ready");
    }
    pause_for(contact);
    for (int n = 0; n < 2; ++n) {
        desks[n]->leave();
        report(*desks[n], "draining");
    }
    pause_for(4 * drain_limit);
    const int after = book(all, record, "after", requests_each);
    const int late = desks[0]->late() + desks[1]->late();
    record.line("served while desk-1 and desk-2 drained: " + std::to_string(after));
    const int later = book(all, record, "later", requests_each);
    record.line("served afterwards: " + std::to_string(later) + " of " + std::to_string(gateways * requests_each));
    if (late > 0) {
        finish(record, exit_broken,
               std::to_string(late) + " requests reached draining runners later than DrainMs; afterwards " +
                   std::to_string(later) + " of " + std::to_string(gateways * requests_each) + " were served");
    }
    finish(record, exit_held, "no request reached a draining runner later than DrainMs");
}
