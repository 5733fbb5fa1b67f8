// Lists without repeats, in the order in which things were added.
#pragma once

#include <algorithm>
#include <vector>

namespace cairnhollow {

template <class Item>
void add_once(std::vector<Item>& items, const Item& item) {
  if (std::find(items.begin(), items.end(), item) == items.end()) items.push_back(item);
}

}  // namespace cairnhollow
