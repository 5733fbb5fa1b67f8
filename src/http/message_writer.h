// Writes HTTP/1.1 messages (RFC 9112) as one run of bytes, so that each goes out in one write.
#pragma once

#include <string>

#include "runtime/http.h"

namespace cairnhollow::http {

/// Appends to `out`. Fields that the connection decides on (connection, content-length, host,
/// transfer-encoding) are written from the arguments, not from the message. False, with `out` unchanged,
/// when target or fields hold characters that would end a line.
bool append_request(std::string& out, const runtime::HttpRequest& request, const std::string& host);

/// As append_request(); `keep_alive` false adds "Connection: close".
bool append_response(std::string& out, const runtime::HttpResponse& response, bool keep_alive);

}  // namespace cairnhollow::http
