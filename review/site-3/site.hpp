#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

#include "review/site-3/wire.hpp"

/** Stand-ins of the platform, the runners and the clients, and gateways as processes, for the third review. */
namespace review {

using nlohmann::json;

/** Addresses of one run: a loopback network of its own, with a host for each machine. */
[[nodiscard]] std::string host(int n);

inline constexpr int store_port = 18408;
inline constexpr int callers_port = 18405;
inline constexpr int ready_port = 18406;
inline constexpr int peers_port = 17660;
inline constexpr int metrics_port = 19464;
inline constexpr int runner_port = 18080;

/** The platform's store. */
class store {
public:
    store();
    store(const store &) = delete;
    store &operator=(const store &) = delete;
    store(store &&) = delete;
    store &operator=(store &&) = delete;
    ~store() = default;

    [[nodiscard]] const std::string &address() const noexcept { return server_->address(); }

    /** Watches that have waited for so long are cut off; zero for never. */
    void cut_watches_after(milliseconds wait) { cut_after_ = wait.count(); }

    /** What the operator or a runner writes. */
    void put(const std::string &kind, const std::string &name, const json &spec);
    /** @return When the removal was acknowledged. */
    std::int64_t remove(const std::string &kind, const std::string &name);
    [[nodiscard]] int watches_cut() const noexcept { return watches_cut_; }

private:
    struct object {
        std::uint64_t revision{0};
        std::uint64_t created{0};
        json spec;
    };

    struct event {
        std::uint64_t revision{0};
        std::string kind;
        std::string text;
    };

    [[nodiscard]] bool handle(const message &in, connection &out);
    [[nodiscard]] bool watch(const std::string &kind, const message &in, connection &out);
    [[nodiscard]] std::string change(const message &in, const std::string &kind, const std::string &name, int &status);
    [[nodiscard]] static json shown(const std::string &name, const object &it);
    void write(const std::string &kind, const std::string &name, const json &spec);
    void erase(const std::string &kind, const std::string &name);
    [[nodiscard]] std::string list(const std::string &kind);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_{100};
    std::map<std::string, std::map<std::string, object>> objects_;
    std::vector<event> events_;
    std::atomic<std::int64_t> cut_after_{0};
    std::atomic<int> watches_cut_{0};
    std::unique_ptr<server> server_;
};

/** Takes usage reports. */
class cloud {
public:
    cloud();
    [[nodiscard]] const std::string &address() const noexcept { return server_.address(); }

private:
    server server_;
};

/** A gateway as the deploy file starts it. */
class gateway {
public:
    gateway(int n, const std::string &folder, const std::string &store, const std::string &cloud);
    gateway(const gateway &) = delete;
    gateway &operator=(const gateway &) = delete;
    gateway(gateway &&) = delete;
    gateway &operator=(gateway &&) = delete;
    ~gateway();

    [[nodiscard]] std::string callers() const { return host(n_) + ":" + std::to_string(callers_port); }
    [[nodiscard]] bool ready() const;
    void signal(int number) const;
    /** @return False if the process has ended by itself. */
    [[nodiscard]] bool runs();
    /** Starts it; it must not run. */
    void start();
    void wait();

private:
    const int n_;
    const std::string folder_;
    pid_t pid_{0};
};

/** @return Routes, services and keys as those of a small site. */
[[nodiscard]] json configuration(std::uint64_t version);

/** Fields that each request has. */
[[nodiscard]] std::vector<field> request_fields(const std::string &id, int deadline_ms);

/** @return A folder of its own below the one for temporary files. */
[[nodiscard]] std::string temporary_folder();

/** Names of the services. */
inline constexpr const char *model_service = "huvo11a";
inline constexpr const char *plain_service = "wuno96b";

/** Waits until all gateways are ready and serve; throws if they do not. */
void wait_until_ready(const std::vector<std::unique_ptr<gateway>> &all);

} // namespace review
