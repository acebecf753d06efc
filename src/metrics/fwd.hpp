#pragma once

namespace dotterelstack::metrics {

class registry;

} // namespace dotterelstack::metrics
