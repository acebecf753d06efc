#pragma once

namespace dotterelstack::http {

struct request;
struct response;
class client;
class curl_client;
class exchange;
class server;

} // namespace dotterelstack::http
