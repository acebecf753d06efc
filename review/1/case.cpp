// The operator takes the tenants away one by one, also the last.

#include "../standin/site.hpp"

using namespace review;

namespace {

constexpr int gateways = 2;
constexpr int tenants = 8;
constexpr milliseconds config_limit{2000};
constexpr milliseconds contact{3000};
constexpr int requests_each = 10;

std::string key_of(int tenant) {
    return "key-of-tenant-" + std::to_string(tenant);
}

/** Configuration with the tenants from this one on. */
json config_from(int first, int version) {
    auto out = site_config(version);
    out["Tenants"] = json::array();
    for (int n = first; n <= tenants; ++n) {
        out["Tenants"].push_back({{"Name", "tenant-" + std::to_string(n)}, {"ApiKeys", {key_of(n)}}, {"Priority", 1}});
    }
    return out;
}

std::string booking(const std::string &id, const std::string &key) {
    return "POST /book/x HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id +
           "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer " + key + "\r\nContent-Length: 10\r\n\r\nengagement";
}

} // namespace

int main(int argc, char **argv) {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const auto folder = temporary_folder();
    platform_store store;
    std::mutex runs_mutex;
    std::map<std::string, std::string> runs;
    http_server desk{[&](const request &it, connection &peer) {
        const auto id = it.field("attempt-id");
        {
            const std::scoped_lock lock{runs_mutex};
            runs[id] = it.field("tenant");
        }
        record.line("runner runs " + id + ", Tenant \"" + it.field("tenant") + "\"");
        pause_for(milliseconds{20});
        return peer.send(answer_text(200, "booked " + id, "Attempt-Id: " + id + "\r\nResponse-Signature: s1\r\n"));
    }};
    store.put("config", "main", config_from(1, 1).dump());
    store.put("servers", "desk-1", server_entry("desk", desk.address(), "rajkot", 6).dump());
    std::vector<std::unique_ptr<gateway_process>> all;
    for (int n = 0; n < gateways; ++n) {
        all.push_back(std::make_unique<gateway_process>("front-" + std::to_string(n + 1), store.address(), folder));
        if (!all.back()->start() || !all.back()->wait_ready(milliseconds{10'000})) {
            finish(record, exit_not_run, "a gateway did not become ready");
        }
    }
    pause_for(contact);
    const auto send = [&](const std::string &name, const std::string &key) {
        int status = 0;
        for (int n = 0; n < requests_each; ++n) {
            const auto id = name + "-" + std::to_string(n);
            const auto &front = *all[static_cast<std::size_t>(n) % gateways];
            status = send_request(front.callers(), booking(id, key)).status;
            record.line("client: " + id + " at " + front.name() + " answered " + std::to_string(status));
        }
        return status;
    };
    if (send("valid", key_of(tenants)) != 200 || send("unknown", "no-such-key") != 401) {
        finish(record, exit_not_run, "the quiet site does not check keys");
    }
    // In uneven steps, as on the platform. Without the disruption one tenant stays.
    const int last = disrupted() ? tenants : tenants - 1;
    for (int n = 1; n <= last; ++n) {
        store.put("config", "main", config_from(n + 1, 1 + 3 * n).dump());
        record.line("the store acknowledges version " + std::to_string(1 + 3 * n) + ", without tenant-" +
                    std::to_string(n));
        pause_for(milliseconds{500});
    }
    pause_for(2 * config_limit);
    send("withdrawn", key_of(last));
    send("never-held", "no-such-key");
    int withdrawn = 0;
    int never_held = 0;
    const std::scoped_lock lock{runs_mutex};
    for (const auto &[id, tenant] : runs) {
        withdrawn += id.starts_with("withdrawn") ? 1 : 0;
        never_held += id.starts_with("never-held") ? 1 : 0;
    }
    if (withdrawn + never_held > 0) {
        finish(record, exit_broken,
               std::to_string(withdrawn) + " of " + std::to_string(requests_each) +
                   " requests ran with a key that had been taken away, " + std::to_string(never_held) + " of " +
                   std::to_string(requests_each) + " with a key that no configuration ever held");
    }
    finish(record, exit_held, "no request ran without a key in force");
}
