// Four proxies, two of which serve the only group; the others forward to these two.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include "tests/declared/proxy/proxy_world.h"

namespace cairnhollow::declared::proxy {

/// A deployment with the proxies' indexes by their role for the group.
struct ForwardingWorld : ProxyWorld {
  static constexpr std::uint32_t kProxies = 4;
  static constexpr std::uint32_t kConnections = 7;  // three connections for each of two proxies

  ForwardingWorld() : ProxyWorld(settings()) {
    for (std::uint32_t index = 0; index < kProxies; ++index)
      (forwards(index) ? outside : serving).push_back(index);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, serving.size());
    from = outside.front();
    const auto first = forwarding_target(from);
    remote = ProxyWorld::proxy(serving[0]) == first ? serving[0] : serving[1];
    other = remote == serving[0] ? serving[1] : serving[0];
  }

  static ProxyWorldSettings settings() {
    ProxyWorldSettings settings;
    settings.proxies = kProxies;
    settings.connections = kConnections;
    return settings;
  }

  std::string explain(std::uint32_t index) {
    return get(index, "/v1/explain?database=decks&partition_key=learner-1&kind=read").body;
  }
  bool forwards(std::uint32_t index) { return explain(index).find("forwarded_to") != std::string::npos; }
  /// Name of the proxy that this one forwards to.
  std::string forwarding_target(std::uint32_t index) {
    const auto text = explain(index);
    const auto place = text.find("forwarded to proxy ") + std::string("forwarded to proxy ").size();
    return text.substr(place, text.find(':', place) - place);
  }
  double metric(std::uint32_t index, const std::string& name) {
    const auto text = get(index, "/metrics").body;
    const auto place = text.find("\n" + name + " ");
    return place == std::string::npos ? 0 : std::stod(text.substr(place + name.size() + 2));
  }
  double forwards_of(std::uint32_t index, const std::string& result) {
    return metric(index, "cairnhollow_proxy_forwards_total{result=\"" + result + "\"}");
  }

  std::vector<std::uint32_t> serving;
  std::vector<std::uint32_t> outside;
  std::uint32_t from = 0;    ///< does not serve the group
  std::uint32_t remote = 0;  ///< first forwarding target of `from`
  std::uint32_t other = 0;   ///< the other proxy that serves the group
};

}  // namespace cairnhollow::declared::proxy
