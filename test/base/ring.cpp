#include "base/ring.hpp"

#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <thread>

using dotterelstack::base::bounded_ring;

// Guards against a full ring that accepts work it cannot hold.
TEST_CASE("a full ring refuses, evicts or waits as asked") {
    bounded_ring<int> ring{2};
    CHECK(ring.try_push(1));
    CHECK(ring.try_push(2));
    CHECK_FALSE(ring.try_push(3));
    CHECK(ring.push_evict(4) == 1);
    CHECK(ring.pop() == 2);
    CHECK(ring.pop() == 4);
}

// Guards against work lost when a duty stops: queued elements are still delivered after close.
TEST_CASE("close wakes readers and keeps queued elements") {
    bounded_ring<int> ring{2};
    CHECK(ring.try_push(7));
    std::thread reader{[&ring] {
        CHECK(ring.pop() == 7);
        CHECK_FALSE(ring.pop().has_value());
    }};
    ring.close();
    reader.join();
    CHECK_FALSE(ring.try_push(8));
}

// Guards against memory that grows with what waits in a ring, however few elements it has.
TEST_CASE("a ring whose elements are heavy makes its producer wait until they are read") {
    bounded_ring<int> ring{100, 10};
    CHECK(ring.push(1, 6));
    CHECK(ring.push(2, 6));
    std::atomic<bool> pushed{false};
    std::thread producer{[&] {
        CHECK(ring.push(3, 1));
        pushed = true;
    }};
    std::this_thread::sleep_for(std::chrono::milliseconds{50});
    CHECK_FALSE(pushed);
    // Elements without weight find room.
    CHECK(ring.try_push(4));
    CHECK(ring.pop() == 1);
    producer.join();
    CHECK(ring.pop() == 2);
    CHECK(ring.push_evict(5) == 0);
    CHECK(ring.size() == 3);
}
