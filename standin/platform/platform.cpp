#include "standin/platform/platform.hpp"

#include <algorithm>

#include "standin/common/path.hpp"
#include "standin/common/program.hpp"

namespace dotterelstack::standin {

void platform::handle(const http::exchange &call) {
    const std::scoped_lock lock{mutex_};
    const auto &message = call.message();
    if (message.path() == "/v1/faults" && message.method == "POST") {
        call.respond(set_faults(message));
    } else if (message.path() == "/v1/hosts" && message.method == "POST") {
        call.respond(set_host(message));
    } else if (outage_) {
        call.abort();
    } else if (delay_ms_ > 0) {
        timer_.after(std::chrono::milliseconds{delay_ms_}, [this, call] {
            const std::scoped_lock relock{mutex_};
            carry_out(call);
        });
    } else {
        carry_out(call);
    }
}

void platform::carry_out(const http::exchange &call) {
    const auto &message = call.message();
    const auto path = message.path();
    const bool post = message.method == "POST";
    const auto model = decode_path(between(path, "/v1/weights/", ""));
    http::response answer;
    if (path == "/v1/hosts") {
        answer = hosts();
    } else if (path == "/v1/backend_orders") {
        answer = post ? record_order(message) : json_response(200, {{"orders", orders_}});
    } else if (path == "/v1/usage_reports") {
        answer = post ? record_usage(message) : json_response(200, {{"reports", reports_}});
    } else if (!model.empty()) {
        answer = weights(model);
    } else {
        answer = error_response(404, "not_found", "no such path; see docs/design.md, section 5");
    }
    if (post && answer.status == 200 && lose_answers_ > 0) {
        --lose_answers_;
        call.abort();
        return;
    }
    call.respond(answer);
}

http::response platform::set_faults(const http::request &message) {
    const auto body = json::parse(message.body, nullptr, false);
    try {
        lose_answers_ = body.value("lose_answers", lose_answers_);
        outage_ = body.value("outage", outage_);
        delay_ms_ = body.value("delay_ms", delay_ms_);
    } catch (const json::exception &ex) {
        return error_response(400, "bad_faults", ex.what());
    }
    return json_response(200, {{"lose_answers", lose_answers_}, {"outage", outage_}, {"delay_ms", delay_ms_}});
}

http::response platform::set_host(const http::request &message) {
    const auto body = json::parse(message.body, nullptr, false);
    try {
        auto next = hosts_.back().second;
        const std::pair key{body.at("host").get<std::string>(), body.at("role").get<std::string>()};
        const auto state = body.value("state", std::string{"live"});
        if (state == "gone") {
            next.erase(key);
        } else {
            next[key] = {{"host", key.first},
                         {"role", key.second},
                         {"address", body.at("address").get<std::string>()},
                         {"failure_domain", body.at("failure_domain").get<std::string>()},
                         {"state", state}};
        }
        change_hosts(next);
    } catch (const json::exception &ex) {
        return error_response(400, "bad_host", ex.what());
    }
    return json_response(200, json::object());
}

void platform::change_hosts(const host_table &next) {
    hosts_.emplace_back(std::chrono::steady_clock::now(), next);
}

http::response platform::hosts() {
    const auto now = std::chrono::steady_clock::now();
    while (hosts_.size() > 1 && now - hosts_[1].first >= options_.lag) {
        hosts_.pop_front();
    }
    json list = json::array();
    for (const auto &[key, host] : hosts_.front().second) {
        list.push_back(host);
    }
    return json_response(200, {{"hosts", list}});
}

http::response platform::record_order(const http::request &message) {
    auto body = json::parse(message.body, nullptr, false);
    try {
        const auto id = body.at("order_id").get<std::string>();
        const auto action = body.at("action").get<std::string>();
        if (action != "start" && action != "stop") {
            return error_response(400, "bad_order", "action is start or stop");
        }
        const bool repeated = std::ranges::any_of(orders_, [&id](const json &it) { return it["order_id"] == id; });
        body["seq"] = orders_.size() + 1;
        body["repeated"] = repeated;
        orders_.push_back(body);
        if (action == "stop") {
            auto next = hosts_.back().second;
            for (auto &[key, host] : next) {
                if (key.first == body.value("host", std::string{})) {
                    host["state"] = "leaving";
                }
            }
            change_hosts(next);
        }
        return json_response(200, {{"order_id", id}, {"repeated", repeated}});
    } catch (const json::exception &ex) {
        return error_response(400, "bad_order", ex.what());
    }
}

http::response platform::record_usage(const http::request &message) {
    auto body = json::parse(message.body, nullptr, false);
    try {
        const auto &window = body.at("window");
        const auto &figures = body.at("figures");
        const auto same_window = [&window](const json &it) { return it["window"] == window; };
        const auto differs = [&](const json &it) { return same_window(it) && it["figures"] != figures; };
        const bool repeated = std::ranges::any_of(reports_, same_window);
        const bool different = std::ranges::any_of(reports_, differs);
        body["seq"] = reports_.size() + 1;
        body["repeated"] = repeated;
        body["differs"] = different;
        reports_.push_back(body);
        return json_response(200, {{"repeated", repeated}});
    } catch (const json::exception &ex) {
        return error_response(400, "bad_report", ex.what());
    }
}

http::response platform::weights(std::string_view model) {
    const auto now = std::chrono::steady_clock::now();
    while (!weight_reads_.empty() && now - weight_reads_.front() >= std::chrono::seconds{1}) {
        weight_reads_.pop_front();
    }
    if (options_.weights_per_second > 0 && weight_reads_.size() >= options_.weights_per_second) {
        auto answer = error_response(429, "limited", "the weight store is busy; repeat after Retry-After");
        answer.fields.push_back({"Retry-After", "1"});
        return answer;
    }
    weight_reads_.push_back(now);
    std::string body{model};
    body.resize(options_.weights_bytes, '.');
    return {200, {{"Content-Type", "application/octet-stream"}}, body};
}

} // namespace dotterelstack::standin
