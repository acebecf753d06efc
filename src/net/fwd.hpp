#pragma once

namespace dotterelstack::net {

class listener;

} // namespace dotterelstack::net
