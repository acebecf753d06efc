#include "drill.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace drill {

using nlohmann::json;

namespace {

constexpr std::size_t kept_changes = 4096;
constexpr std::size_t memory_limit_kb = std::size_t{260} * 1024;
constexpr int events_of_stream = 8;
constexpr milliseconds event_gap{10};
constexpr milliseconds restart_delay{1000};
// Connections that are idle for longer are not used again; the configuration allows 15 s.
constexpr std::size_t most_idle = 64;

// Processes of front machines, for a signal handler.
std::array<std::atomic<pid_t>, 16> processes{};

void end_all(int /*signal*/) {
    for (const auto &it : processes) {
        if (const pid_t process = it.load(); process > 0) {
            ::kill(process, SIGKILL);
        }
    }
    ::_exit(2);
}

sockaddr_in to_endpoint(const std::string &address) {
    const auto colon = address.find(':');
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

tcp_socket listen_on(const std::string &address) {
    tcp_socket out{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const int on = 1;
    ::setsockopt(out.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_endpoint(address);
    constexpr int queue = 512;
    if (::bind(out.fd(), reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0 ||
        ::listen(out.fd(), queue) != 0) {
        throw std::runtime_error{"cannot listen on " + address};
    }
    return out;
}

std::string address_of(const tcp_socket &from) {
    sockaddr_in where{};
    socklen_t size = sizeof where;
    ::getsockname(from.fd(), reinterpret_cast<sockaddr *>(&where), &size);
    return "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
}

std::string lower(std::string text) {
    std::ranges::transform(text, text.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

std::string trimmed(const std::string &text) {
    const auto first = text.find_first_not_of(" \t");
    const auto last = text.find_last_not_of(" \t");
    return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

std::string query_value(const std::string &target, const std::string &name) {
    std::istringstream query{target.substr(std::min(target.find('?'), target.size() - 1) + 1)};
    for (std::string part; std::getline(query, part, '&');) {
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

json shown(const std::string &name, std::uint64_t revision, const json &spec) {
    return {{"Metadata", {{"Name", name}, {"Revision", revision}, {"Finalizers", json::array()}, {"Deleting", false}}},
            {"Spec", spec},
            {"Status", nullptr}};
}

/** @return Memory of a process in KB; 0 if it has ended. */
std::size_t resident_kb(pid_t process) {
    std::ifstream status{"/proc/" + std::to_string(process) + "/status"};
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoul(line.substr(line.find_first_of("0123456789")));
        }
    }
    return 0;
}

} // namespace

tcp_socket::tcp_socket(tcp_socket &&other) noexcept : fd_{std::exchange(other.fd_, -1)} {}

tcp_socket &tcp_socket::operator=(tcp_socket &&other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
}

tcp_socket::~tcp_socket() {
    if (fd_ >= 0) {
        ::close(fd_);
    }
}

bool tcp_socket::write(std::string_view text) const {
    while (!text.empty()) {
        const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool tcp_socket::read_some(std::string &to) const {
    std::array<char, 16384> part{};
    const auto n = ::recv(fd_, part.data(), part.size(), 0);
    if (n <= 0) {
        return false;
    }
    to.append(part.data(), static_cast<std::size_t>(n));
    return true;
}

void tcp_socket::set_timeout(milliseconds limit) const {
    timeval time{};
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

tcp_server::tcp_server(std::function<void(tcp_socket)> serve) {
    auto listener = listen_on("127.0.0.1:0");
    address_ = address_of(listener);
    std::thread{[listener = std::make_shared<tcp_socket>(std::move(listener)), serve = std::move(serve)] {
        while (true) {
            const int fd = ::accept4(listener->fd(), nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0) {
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread{[&serve, fd] { serve(tcp_socket{fd}); }}.detach();
            }
        }
    }}.detach();
}

tcp_socket connect_to(const std::string &address, milliseconds limit) {
    tcp_socket out{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    const auto where = to_endpoint(address);
    timeval time{};
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    ::setsockopt(out.fd(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof time);
    if (::connect(out.fd(), reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        return {};
    }
    const int on = 1;
    ::setsockopt(out.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return out;
}

std::string free_address() {
    return address_of(listen_on("127.0.0.1:0"));
}

std::string message::field(const std::string &name) const {
    const auto it = fields.find(lower(name));
    return it == fields.end() ? std::string{} : it->second;
}

std::string message::target() const {
    const auto first = start.find(' ');
    return start.substr(first + 1, start.rfind(' ') - first - 1);
}

int message::status() const {
    constexpr std::size_t offset = 9;
    return start.size() > offset + 2 ? std::atoi(start.substr(offset, 3).c_str()) : 0;
}

std::optional<std::string> message_reader::line() {
    auto end = buffer_.find('\n');
    while (end == std::string::npos) {
        if (!from_.read_some(buffer_)) {
            return std::nullopt;
        }
        end = buffer_.find('\n');
    }
    auto out = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (out.ends_with('\r')) {
        out.pop_back();
    }
    return out;
}

bool message_reader::take(std::size_t n, std::string &to) {
    while (buffer_.size() < n) {
        if (!from_.read_some(buffer_)) {
            return false;
        }
    }
    to.append(buffer_, 0, n);
    buffer_.erase(0, n);
    return true;
}

std::optional<message> message_reader::next() {
    message out;
    auto text = line();
    if (!text) {
        return std::nullopt;
    }
    out.start = *text;
    while ((text = line()) && !text->empty()) {
        const auto colon = text->find(':');
        if (colon != std::string::npos) {
            out.fields.emplace(lower(text->substr(0, colon)), trimmed(text->substr(colon + 1)));
        }
    }
    if (!text) {
        return std::nullopt;
    }
    if (out.field("Transfer-Encoding") == "chunked") {
        while (true) {
            const auto size = line();
            std::string rest;
            if (!size) {
                return std::nullopt;
            }
            const auto n = std::stoul(*size, nullptr, 16);
            if (!take(n, out.body) || !take(2, rest)) {
                return std::nullopt;
            }
            if (n == 0) {
                return out;
            }
        }
    }
    const auto length = out.field("Content-Length");
    return take(length.empty() ? 0 : std::stoul(length), out.body) ? std::optional{std::move(out)} : std::nullopt;
}

double event_record::now() const {
    return std::chrono::duration<double>(steady::now() - begun_).count();
}

void event_record::write(const std::string &text) {
    const std::scoped_lock lock{mutex_};
    out_ << now() << " s  " << text << '\n';
}

object_store::object_store() : server_{[this](const tcp_socket &from) { serve(from); }} {}

void object_store::serve(const tcp_socket &from) {
    message_reader in{from};
    while (const auto request = in.next()) {
        const auto [status, body] = answer(*request);
        if (status == 0) {
            return;
        }
        const auto text = body.dump();
        if (!from.write("HTTP/1.1 " + std::to_string(status) +
                        " S\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
                        "\r\n\r\n" + text)) {
            return;
        }
    }
}

std::pair<int, json> object_store::answer(const message &request) {
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    constexpr std::string_view objects = "/objects/";
    if (path == "/usage") {
        return {200, json::object()};
    }
    if (!path.starts_with(objects)) {
        return {404, json::object()};
    }
    const auto rest = path.substr(objects.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
    const auto method = request.method();
    if (method == "GET" && name.empty()) {
        const auto since = query_value(target, "Watch");
        const auto wait = query_value(target, "WaitMs");
        return since.empty() ? list(kind)
                             : watch(kind, std::stoull(since), milliseconds{wait.empty() ? 0 : std::stoll(wait)});
    }
    if (method == "GET") {
        return read(kind, name);
    }
    if (method == "DELETE") {
        const auto revision = query_value(target, "Revision");
        return erase(kind, name, revision.empty() ? 0 : std::stoull(revision));
    }
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("Metadata")) {
        return {400, json::object()};
    }
    return write(kind, name.empty() ? body["Metadata"].value("Name", std::string{}) : name, body, method == "POST");
}

std::pair<int, json> object_store::read(const std::string &kind, const std::string &name) {
    const std::scoped_lock lock{mutex_};
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
        return {404, json::object()};
    }
    return {200, shown(name, found->second.revision, found->second.spec)};
}

std::pair<int, json> object_store::list(const std::string &kind) {
    const std::scoped_lock lock{mutex_};
    json items = json::array();
    for (const auto &[name, it] : objects_[kind]) {
        items.push_back(shown(name, it.revision, it.spec));
    }
    return {200, {{"items", std::move(items)}, {"Truncated", false}, {"StoreRevision", revision_}}};
}

std::pair<int, json> object_store::watch(const std::string &kind, std::uint64_t since, milliseconds wait) {
    const auto limit = watch_limit_.load();
    const bool cut = limit < wait;
    const auto until = steady::now() + std::min(limit, wait);
    std::unique_lock lock{mutex_};
    if (!history_.empty() && since + 1 < history_.front().revision && history_.size() == kept_changes) {
        return {410, json::object()};
    }
    json events = json::array();
    while (true) {
        for (const auto &it : history_) {
            if (it.revision > since && it.kind == kind) {
                events.push_back({{"Deleted", it.deleted}, {"Object", shown(it.name, it.revision, it.spec)}});
            }
        }
        const bool over = events.empty() && changed_.wait_until(lock, until) == std::cv_status::timeout;
        if (over && cut) {
            return {0, json{}};
        }
        if (over || !events.empty()) {
            return {200, {{"events", std::move(events)}, {"StoreRevision", revision_}}};
        }
    }
}

void object_store::store_locked(const std::string &kind, const std::string &name, json spec) {
    ++revision_;
    history_.push_back({revision_, kind, name, spec, false});
    objects_[kind][name] = {revision_, std::move(spec)};
    if (history_.size() > kept_changes) {
        history_.pop_front();
    }
    changed_.notify_all();
}

std::pair<int, json> object_store::write(const std::string &kind, const std::string &name, const json &body,
                                         bool creates) {
    const std::scoped_lock lock{mutex_};
    const auto found = objects_[kind].find(name);
    const bool exists = found != objects_[kind].end();
    const auto expected = body["Metadata"].value("Revision", std::uint64_t{0});
    const bool conflict = creates ? exists : expected != 0 && (!exists || found->second.revision != expected);
    if (conflict) {
        return {409, exists ? shown(name, found->second.revision, found->second.spec) : json::object()};
    }
    if (!creates && !exists) {
        return {404, json::object()};
    }
    store_locked(kind, name, body.value("Spec", json{}));
    return {200, shown(name, revision_, objects_[kind][name].spec)};
}

std::pair<int, json> object_store::erase(const std::string &kind, const std::string &name, std::uint64_t expected) {
    const std::scoped_lock lock{mutex_};
    const auto found = objects_[kind].find(name);
    if (found == objects_[kind].end()) {
        return {404, json::object()};
    }
    if (expected != 0 && found->second.revision != expected) {
        return {409, shown(name, found->second.revision, found->second.spec)};
    }
    ++revision_;
    history_.push_back({revision_, kind, name, nullptr, true});
    objects_[kind].erase(found);
    changed_.notify_all();
    return {200, json::object()};
}

void object_store::put(const std::string &kind, const std::string &name, json spec) {
    const std::scoped_lock lock{mutex_};
    store_locked(kind, name, std::move(spec));
}

void object_store::remove(const std::string &kind, const std::string &name) {
    (void)erase(kind, name, 0);
}

runner::runner(runner_options options, object_store &store, event_record &record)
    : options_{std::move(options)}, record_{record}, server_{[this](const tcp_socket &from) { serve(from); }} {
    const auto born =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    // An entry changes only when more than its sequence changes, so it is written once.
    store.put("servers", options_.id,
              {{"Service", options_.service},
               {"Address", server_.address()},
               {"Zone", "rajkot"},
               {"Version", "v1"},
               {"Slots", options_.slots},
               {"State", "ready"},
               {"ColdRemainingMs", 0},
               {"Sequence", 1},
               {"born", born}});
}

void runner::set_trouble(std::optional<endless_bytes> what) {
    const std::scoped_lock lock{mutex_};
    trouble_ = std::move(what);
}

void runner::leave(object_store &store) {
    {
        const std::scoped_lock lock{mutex_};
        store.remove("servers", options_.id);
        left_at_ = steady::now();
    }
    record_.write("runner " + options_.id + ": its entry is removed, it serves on");
}

int runner::came_after_leaving(milliseconds limit) {
    const std::scoped_lock lock{mutex_};
    return static_cast<int>(std::ranges::count_if(after_leaving_, [limit](auto it) { return it > limit; }));
}

bool runner::ran(const std::string &id) {
    const std::scoped_lock lock{mutex_};
    return runs_.contains(id);
}

void runner::serve(const tcp_socket &from) {
    message_reader in{from};
    while (const auto request = in.next()) {
        if (!run(from, *request)) {
            return;
        }
    }
}

bool runner::run(const tcp_socket &from, const message &request) {
    const auto id = request.field("Attempt-Id");
    const auto own = "Attempt-Id: " + id + "\r\n";
    if (request.field("Expect-Instance") != options_.id) {
        return from.write("HTTP/1.1 421 Misdirected\r\n" + own + "Content-Length: 0\r\n\r\n");
    }
    std::optional<endless_bytes> trouble;
    {
        std::unique_lock lock{mutex_};
        if (left_at_) {
            after_leaving_.push_back(std::chrono::duration_cast<milliseconds>(steady::now() - *left_at_));
            record_.write("runner " + options_.id + " gets " + id + " " +
                          std::to_string(after_leaving_.back().count()) + " ms after the removal");
        }
        trouble = trouble_;
        if (!trouble && running_ + waiting_ >= options_.slots + options_.queue) {
            lock.unlock();
            return from.write("HTTP/1.1 503 Full\r\n" + own + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        if (!trouble) {
            ++waiting_;
            slot_free_.wait(lock, [this] { return running_ < options_.slots; });
            --waiting_;
            ++running_;
            ++runs_[id];
        }
    }
    if (trouble) {
        record_.write("runner " + options_.id + " answers " + id + " with bytes without end");
        bool open = from.write(trouble->head);
        while (open) {
            std::this_thread::sleep_for(trouble->pause);
            open = from.write(trouble->repeated);
        }
        return false;
    }
    record_.write("runner " + options_.id + " runs " + id);
    std::this_thread::sleep_for(options_.work);
    std::string head;
    {
        const std::scoped_lock lock{mutex_};
        head = "HTTP/1.1 200 OK\r\n" + own + "Response-Signature: " + options_.id + "." + id +
               "\r\nInstance-Load: " + std::to_string(running_) + "," + std::to_string(waiting_) + "," +
               std::to_string(options_.slots) + "\r\n";
    }
    const std::string body(800, 'b');
    const bool open = options_.streams
                          ? stream(from, head)
                          : from.write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    const std::scoped_lock lock{mutex_};
    --running_;
    slot_free_.notify_one();
    return open;
}

bool runner::stream(const tcp_socket &from, const std::string &head) {
    bool open = from.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int n = 1; open && n <= events_of_stream; ++n) {
        const auto event = "id: " + std::to_string(n) + "\ndata: " + std::string(64, 'd') + "\n\n";
        std::ostringstream size;
        size << std::hex << event.size();
        open = from.write(size.str() + "\r\n" + event + "\r\n");
        std::this_thread::sleep_for(event_gap);
    }
    return open && from.write("0\r\n\r\n");
}

front_machine::front_machine(int number, const std::string &folder, const std::string &store, event_record &record)
    : number_{number}, folder_{folder}, record_{record} {
    // What the template of the deploy file gives, with loopback addresses.
    const json settings{
        {"name", "front-rajkot-" + std::to_string(number)},
        {"failure_domain", "rajkot"},
        {"listen",
         {{"callers", callers_}, {"readiness", readiness_}, {"peers", free_address()}, {"metrics", free_address()}}},
        {"store", store},
        {"duties", store},
        {"seeds", json::array()},
        {"descriptors", 4100},
        {"memory_mb", 260},
        {"bounds",
         {{"drain_ms", 2000},
          {"contact_ms", 3000},
          {"stop_grace_s", 8},
          {"lease_term_ms", 3000},
          {"usage_window_s", 5},
          {"usage_due_s", 10},
          {"retry_window_s", 10},
          {"retry_ratio", 0.2},
          {"retry_allowance", 58},
          {"config_apply_ms", 2000}}}};
    std::ofstream{folder_ + "/front-" + std::to_string(number) + ".json"} << settings.dump(2);
    supervisor_ = std::thread{[this] { supervise(); }};
}

front_machine::~front_machine() {
    stopping_ = true;
    supervisor_.join();
}

bool front_machine::ready() const {
    const auto to = connect_to(readiness_, milliseconds{200});
    if (!to.open() || !to.write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")) {
        return false;
    }
    to.set_timeout(milliseconds{500});
    const auto answer = message_reader{to}.next();
    return answer && answer->status() == 200;
}

pid_t front_machine::spawn() const {
    const auto settings = folder_ + "/front-" + std::to_string(number_) + ".json";
    const auto log = folder_ + "/front-" + std::to_string(number_) + ".log";
    const char *program = std::getenv("DOTTERELSTACK");
    const std::string path = program == nullptr ? "target/bin/dotterelstack" : program;
    const auto variable = "DOTTERELSTACK_SETTINGS=" + settings;
    const std::array<const char *, 3> arguments{path.c_str(), "gateway", nullptr};
    const std::array<const char *, 3> environment{variable.c_str(), "PATH=/usr/bin:/bin", nullptr};
    posix_spawn_file_actions_t files;
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, 1, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::posix_spawn_file_actions_adddup2(&files, 1, 2);
    pid_t out = -1;
    // posix_spawn does not write to its arguments.
    const int ec = ::posix_spawn(&out, path.c_str(), &files, nullptr, const_cast<char **>(arguments.data()),
                                 const_cast<char **>(environment.data()));
    ::posix_spawn_file_actions_destroy(&files);
    if (ec != 0) {
        throw std::runtime_error{"cannot start " + path};
    }
    return out;
}

void end_processes_on_stop() {
    std::signal(SIGTERM, &end_all);
    std::signal(SIGINT, &end_all);
}

void front_machine::supervise() {
    const auto name = "front machine " + std::to_string(number_);
    while (!stopping_) {
        pid_t process = -1;
        try {
            process = spawn();
        } catch (const std::exception &) {
            failed_ = true;
            return;
        }
        processes.at(static_cast<std::size_t>(number_)) = process;
        record_.write(name + ": the process starts");
        int status = 0;
        while (::waitpid(process, &status, WNOHANG) == 0) {
            const auto kb = resident_kb(process);
            peak_kb_ = std::max<std::size_t>(peak_kb_, kb);
            if (stopping_ || kb > memory_limit_kb) {
                if (!stopping_) {
                    record_.write(name + ": the process has " + std::to_string(kb / 1024) +
                                  " MB, the platform kills it");
                }
                ::kill(process, SIGKILL);
                ::waitpid(process, &status, 0);
                break;
            }
            std::this_thread::sleep_for(milliseconds{5});
        }
        if (stopping_) {
            return;
        }
        ++ends_;
        record_.write(name + ": the process has ended, end " + std::to_string(ends_));
        std::this_thread::sleep_for(restart_delay);
    }
}

client_group::client_group(const front_machine &machine, std::string prefix, event_record &record)
    : machine_{machine}, prefix_{std::move(prefix)}, record_{record} {}

client_group::~client_group() {
    wait();
}

void client_group::wait() {
    std::unique_lock lock{mutex_};
    ended_.wait(lock, [this] { return open_ == 0; });
}

std::map<std::string, outcome> client_group::outcomes() {
    const std::scoped_lock lock{mutex_};
    return outcomes_;
}

void client_group::send(const std::string &kind, const std::string &lines, milliseconds deadline) {
    std::string id;
    {
        const std::scoped_lock lock{mutex_};
        id = prefix_ + "-" + kind + "-" + std::to_string(next_++);
        ++open_;
    }
    const auto text = lines + "Host: site.example\r\nAttempt-Id: " + id +
                      "\r\nAuthorization: Bearer key1\r\nDeadline-Ms: " + std::to_string(deadline.count()) + "\r\n\r\n";
    std::thread{[this, id, text, deadline] {
        exchange(id, text, deadline);
        const std::scoped_lock lock{mutex_};
        --open_;
        ended_.notify_all();
    }}.detach();
}

void client_group::exchange(const std::string &id, const std::string &text, milliseconds deadline) {
    tcp_socket to;
    outcome out{.status = -1, .kept = false, .machine = machine_.callers(), .sent = record_.now()};
    {
        const std::scoped_lock lock{mutex_};
        while (!idle_.empty() && !to.open()) {
            to = std::move(idle_.back());
            idle_.pop_back();
            pollfd ended{to.fd(), POLLIN, 0};
            out.kept = ::poll(&ended, 1, 0) == 0;
            if (!out.kept) {
                to = {};
            }
        }
    }
    if (!to.open()) {
        to = connect_to(machine_.callers(), milliseconds{1000});
    }
    if (to.open()) {
        // Longer than the client's deadline, so that a connection that the node closes counts as closed.
        to.set_timeout(deadline + milliseconds{1500});
        const bool sent = to.write(text);
        const auto answer = message_reader{to}.next();
        out.status = sent && answer ? answer->status() : 0;
        if (answer && answer->field("Connection") != "close") {
            const std::scoped_lock lock{mutex_};
            if (idle_.size() < most_idle) {
                idle_.push_back(std::move(to));
            }
        }
    }
    out.taken = record_.now() - out.sent;
    record_.write("client: " + id + (out.kept ? " on a kept connection: " : ": ") +
                  (out.status > 0    ? std::to_string(out.status)
                   : out.status == 0 ? std::string{"no whole answer"}
                                     : std::string{"no connection"}) +
                  " after " + std::to_string(out.taken) + " s");
    const std::scoped_lock lock{mutex_};
    outcomes_.emplace(id, out);
}

json site_config() {
    const auto route = [](const char *prefix, const char *kind, const char *service, int timeout, int target,
                          int attempts, bool resumable, int priority) {
        json out{{"Name", prefix},         {"Host", "site.example"},  {"PathPrefix", std::string{"/"} + prefix + "/"},
                 {"Kind", kind},           {"TimeoutMs", timeout},    {"TargetLatencyMs", target},
                 {"Service", service},     {"MaxAttempts", attempts}, {"Public", false},
                 {"Resumable", resumable}, {"Priority", priority}};
        if (std::string_view{kind} == "streaming") {
            out["Sticky"] = true;
            out["GapAimMs"] = 150;
        }
        return out;
    };
    const json engine{{"Slots", 12},
                      {"KvCapacityTokens", 610008},
                      {"KvTokenBytes", 18432},
                      {"LinkMbps", 180000},
                      {"Moves", true},
                      {"Backups", true},
                      {"Stride", 11},
                      {"most", 12},
                      {"KvHoldS", 5.0},
                      {"ReconfigureS", 3},
                      {"PinMs", 4000},
                      {"HoldMs", 2000},
                      {"Models", {{{"Name", "m"}}}}};
    return {
        {"Version", 7},
        {"Routes",
         {route("draft", "streaming", "drafting", 5000, 300, 2, true, 1),
          route("query", "streaming", "drafting", 3000, 200, 1, false, 0),
          route("book", "unsafe", "bookings", 800, 300, 1, false, 2),
          route("read", "safe", "bookings", 800, 300, 2, false, 2)}},
        {"Services",
         {{{"Name", "drafting"},
           {"HealthPath", "/health"},
           {"MaxConnections", 170},
           {"Protocol", "h1"},
           {"Tls", false},
           {"Engine", engine}},
          {{"Name", "bookings"},
           {"HealthPath", "/health"},
           {"MaxConnections", 110},
           {"Protocol", "h1"},
           {"Tls", false}}}},
        {"Limits",
         {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants", {{{"Name", "huka270"}, {"ApiKeys", {"key1"}}, {"Priority", 1}}}}};
}

} // namespace drill
