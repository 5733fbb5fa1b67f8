#include "cli/manifest_files.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace cairnhollow::cli {

namespace {

namespace filesystem = std::filesystem;

constexpr const char* kStandardInput = "-";

std::vector<std::string> manifests_in(const std::string& folder) {
  std::vector<std::string> files;
  std::error_code error;
  for (const auto& entry : filesystem::directory_iterator(folder, error)) {
    const auto extension = entry.path().extension();
    if (extension == ".yaml" || extension == ".yml") files.push_back(entry.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

std::vector<std::string> expand(const std::vector<std::string>& paths) {
  std::vector<std::string> files;
  for (const auto& path : paths) {
    std::error_code error;
    if (!filesystem::is_directory(path, error)) {
      files.push_back(path);
      continue;
    }
    const auto found = manifests_in(path);
    files.insert(files.end(), found.begin(), found.end());
  }
  return files;
}

std::optional<std::string> read_all(const std::string& path, Reason& reason) {
  using Iterator = std::istreambuf_iterator<char>;
  if (path == kStandardInput) return std::string(Iterator(std::cin), Iterator());
  std::ifstream file(path, std::ios::binary);
  if (file) return std::string(Iterator(file), Iterator());
  reason = Reason{ReasonCode::kNotFound, "read_manifest", "", fmt::format("{}: can't be read", path)};
  return std::nullopt;
}

}  // namespace

std::optional<std::vector<declared::config::Manifest>> load_manifests(const std::vector<std::string>& paths,
                                                                      Reason& reason) {
  std::vector<declared::config::Manifest> manifests;
  std::string faults;
  for (const auto& file : expand(paths)) {
    const auto text = read_all(file, reason);
    if (!text) return std::nullopt;
    Reason fault;
    auto parsed =
        declared::config::parse_manifests(*text, file == kStandardInput ? "standard input" : file, fault);
    if (parsed) {
      std::move(parsed->begin(), parsed->end(), std::back_inserter(manifests));
    } else {
      faults += (faults.empty() ? "" : "; ") + fault.detail;
    }
  }
  if (faults.empty() && !manifests.empty()) return manifests;
  const std::string detail = faults.empty() ? "the files hold no object" : faults;
  reason = Reason{ReasonCode::kInvalidArgument, "read_manifest", "", detail};
  return std::nullopt;
}

}  // namespace cairnhollow::cli
