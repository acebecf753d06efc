#include "review/site-3/wire.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace review {

namespace {

const steady::time_point begun = steady::now();

constexpr std::size_t largest_body = std::size_t{16} << 20U;

sockaddr_in to_socket_address(const std::string &ip, int port) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

void send_at_once(int fd) {
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

std::int64_t now_ms() {
    return std::chrono::duration_cast<milliseconds>(steady::now() - begun).count();
}

void record::line(const std::string &text) {
    const std::scoped_lock lock{mutex_};
    out_ << now_ms() << ' ' << text << std::endl;
}

std::string message::get(std::string_view name) const {
    for (const auto &it : fields) {
        if (it.name.size() == name.size() && ::strncasecmp(it.name.data(), name.data(), name.size()) == 0) {
            return it.value;
        }
    }
    return {};
}

std::string message::target() const {
    const auto first = start.find(' ');
    return first == std::string::npos ? std::string{} : start.substr(first + 1, start.rfind(' ') - first - 1);
}

std::string message::query(const std::string &name) const {
    const auto all = target();
    auto at = all.find('?');
    while (at != std::string::npos) {
        const auto next = all.find('&', at + 1);
        const auto part = all.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
        at = next;
    }
    return {};
}

int message::status() const {
    const auto first = start.find(' ');
    return first == std::string::npos ? 0 : static_cast<int>(std::strtol(start.c_str() + first + 1, nullptr, 10));
}

connection::~connection() {
    ::close(fd_);
}

void connection::close() {
    closed_ = true;
    ::shutdown(fd_, SHUT_RDWR);
}

void connection::set_timeout(milliseconds limit) const {
    timeval value{};
    value.tv_sec = limit.count() / 1000;
    value.tv_usec = (limit.count() % 1000) * 1000;
    ::setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof value);
}

bool connection::peer_gone() const {
    pollfd it{fd_, POLLRDHUP, 0};
    return closed_ || ::poll(&it, 1, 0) > 0;
}

bool connection::write(std::string_view text) {
    while (!text.empty() && !closed_) {
        const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        text.remove_prefix(static_cast<std::size_t>(n));
    }
    return !closed_;
}

bool connection::fill() {
    std::array<char, 16384> in{};
    const auto n = ::recv(fd_, in.data(), in.size(), 0);
    if (n <= 0) {
        return false;
    }
    buffer_.append(in.data(), static_cast<std::size_t>(n));
    return true;
}

bool connection::read_line(std::string &out) {
    auto end = buffer_.find('\n');
    while (end == std::string::npos) {
        if (!fill()) {
            return false;
        }
        end = buffer_.find('\n');
    }
    out = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (out.ends_with('\r')) {
        out.pop_back();
    }
    return true;
}

bool connection::read_bytes(std::size_t n, std::string &out) {
    while (buffer_.size() < n) {
        if (!fill()) {
            out.append(std::exchange(buffer_, {}));
            return false;
        }
    }
    out.append(buffer_, 0, n);
    buffer_.erase(0, n);
    return true;
}

bool connection::read_body(message &out, bool is_answer) {
    const auto length = out.get("Content-Length");
    if (out.get("Transfer-Encoding") == "chunked") {
        for (std::string line; read_line(line);) {
            const auto n = std::strtoul(line.c_str(), nullptr, 16);
            if (n > largest_body || !read_bytes(n, out.body) || !read_line(line)) {
                return false;
            }
            if (n == 0) {
                return true;
            }
        }
        return false;
    }
    if (!length.empty()) {
        return read_bytes(std::min(largest_body, std::strtoul(length.c_str(), nullptr, 10)), out.body);
    }
    if (is_answer) {
        while (fill()) {
        }
        out.body = std::exchange(buffer_, {});
    }
    return true;
}

bool connection::read_message(message &out, bool is_answer) {
    out = {};
    whole_ = false;
    if (!read_line(out.start)) {
        return false;
    }
    for (std::string line; true;) {
        if (!read_line(line)) {
            return false;
        }
        if (line.empty()) {
            break;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const auto first = line.find_first_not_of(' ', colon + 1);
        out.fields.push_back({line.substr(0, colon), first == std::string::npos ? "" : line.substr(first)});
    }
    whole_ = read_body(out, is_answer);
    return whole_ || is_answer;
}

server::server(const std::string &ip, int port, handler handle)
    : handle_{std::move(handle)}, address_{ip + ":" + std::to_string(port)} {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_socket_address(ip, port);
    if (::bind(fd_, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0 || ::listen(fd_, 1024) != 0) {
        throw std::runtime_error{"cannot listen on " + address_};
    }
    thread_ = std::thread{[this] { accept_all(); }};
}

server::~server() {
    stop();
    thread_.join();
    for (const auto &it : slots_) {
        it->thread.join();
    }
}

void server::stop() {
    if (stopped_.exchange(true)) {
        return;
    }
    ::shutdown(fd_, SHUT_RDWR);
    ::close(fd_);
    const std::scoped_lock lock{mutex_};
    for (const auto &it : slots_) {
        it->link->close();
    }
}

void server::accept_all() {
    while (!stopped_) {
        const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            std::this_thread::sleep_for(milliseconds{1});
            continue;
        }
        send_at_once(fd);
        const auto it = std::make_shared<slot>();
        it->link = std::make_shared<connection>(fd);
        const std::scoped_lock lock{mutex_};
        if (stopped_) {
            return;
        }
        for (auto old = slots_.begin(); old != slots_.end();) {
            if ((*old)->done) {
                (*old)->thread.join();
                old = slots_.erase(old);
            } else {
                ++old;
            }
        }
        slots_.push_back(it);
        it->thread = std::thread{[this, it] { serve(it); }};
    }
}

void server::serve(const std::shared_ptr<slot> &it) {
    message in;
    while (!stopped_ && it->link->read_message(in, false) && !stopped_ && handle_(in, *it->link)) {
    }
    it->link->close();
    it->done = true;
}

std::string render(const std::string &start, const std::vector<field> &fields, const std::string &body) {
    std::string out = start + "\r\n";
    for (const auto &it : fields) {
        out.append(it.name).append(": ").append(it.value).append("\r\n");
    }
    return out + "\r\n" + body;
}

reply call(const std::string &address, const std::string &start, const std::vector<field> &fields,
           const std::string &body, milliseconds limit) {
    reply out;
    const auto colon = address.find(':');
    const auto port = std::strtol(address.c_str() + colon + 1, nullptr, 10);
    const auto where = to_socket_address(address.substr(0, colon), static_cast<int>(port));
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return out;
    }
    connection link{fd};
    link.set_timeout(limit);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&where), sizeof where) != 0) {
        return out;
    }
    send_at_once(fd);
    if (link.write(render(start, fields, body)) && link.read_message(out.answer, true)) {
        out.status = out.answer.status();
        out.whole = link.whole();
    }
    return out;
}

} // namespace review
