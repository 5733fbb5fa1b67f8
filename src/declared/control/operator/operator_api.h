// HTTP and JSON operator API of a control node on top of an OperatorService. docs/API_OPERATOR.md lists the
// resources.
#pragma once

#include <memory>

#include "declared/control/operator/operator_service.h"
#include "runtime/http.h"
#include "runtime/runtime.h"

namespace cairnhollow::declared::control {

/// `service` and `runtime` are not owned and must outlive the handler.
std::unique_ptr<runtime::HttpHandler> make_operator_api(runtime::Runtime& runtime, OperatorService& service);

}  // namespace cairnhollow::declared::control
