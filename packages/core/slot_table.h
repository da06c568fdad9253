/** @file slot_table.h Pool of records with generation-checked handles. */

#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace corianderrail {

/** Handle of a record of a slot_table; 0 is no record. */
using slot_handle = std::uint64_t;

/**
 * Pool of records with O(1) insert, find and erase. A handle contains the
 * generation of its slot, so that a late reply cannot reach the next record in
 * the same slot. References stay valid until their record is erased.
 */
template <typename T>
class slot_table {
 public:
  slot_handle Insert(T value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t index = free_.back();
    free_.pop_back();
    slots_[index].value = std::move(value);
    slots_[index].used = true;
    ++size_;
    return (slot_handle{slots_[index].generation} << 32) | index;
  }

  T* Find(slot_handle handle) {
    const auto index = static_cast<std::uint32_t>(handle);
    if (index >= slots_.size()) return nullptr;
    slot& found = slots_[index];
    if (!found.used || found.generation != (handle >> 32)) return nullptr;
    return &found.value;
  }

  void Erase(slot_handle handle) {
    if (Find(handle) == nullptr) return;
    const auto index = static_cast<std::uint32_t>(handle);
    slots_[index].value = T{};
    slots_[index].used = false;
    ++slots_[index].generation;
    free_.push_back(index);
    --size_;
  }

  std::size_t Size() const { return size_; }

  /** Handles of all records. Takes time linear in the number of slots. */
  std::vector<slot_handle> Handles() const {
    std::vector<slot_handle> handles;
    for (std::uint32_t i = 0; i < slots_.size(); ++i) {
      if (!slots_[i].used) continue;
      handles.push_back((slot_handle{slots_[i].generation} << 32) | i);
    }
    return handles;
  }

 private:
  struct slot {
    T value{};                     ///< Default-constructed while unused.
    std::uint32_t generation = 1;  ///< Incremented when the slot is freed.
    bool used = false;             ///< Whether the slot holds a record.
  };

  std::deque<slot> slots_;
  std::vector<std::uint32_t> free_;
  std::size_t size_ = 0;
};

}  // namespace corianderrail
