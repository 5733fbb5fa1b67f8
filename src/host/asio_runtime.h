// The real runtime: Boost.Asio clock, timers and TCP, POSIX files, JSON-lines log on standard output.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

#include "runtime/runtime.h"

namespace cairnhollow::host {

struct AsioRuntimeSettings {
  std::string program;      ///< log field
  std::string node;         ///< log field
  std::string zone;         ///< log field
  std::string data_folder;  ///< created when missing; empty: Storage refuses everything
  std::uint64_t random_seed = 0;
  runtime::LogLevel log_level = runtime::LogLevel::kInfo;
};

/// `context` is run by one thread and outlives the runtime. `http` is made by http::make_http_transport.
std::unique_ptr<runtime::Runtime> make_asio_runtime(boost::asio::io_context& context,
                                                    const AsioRuntimeSettings& settings);

}  // namespace cairnhollow::host
