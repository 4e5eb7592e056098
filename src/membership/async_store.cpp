#include "membership/async_store.hpp"

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace mintrock::membership {

Change merge_changes(Change first, Change second) {
  if (second.full) return second;
  std::set<std::string> superseded;
  for (const StoredEntry& each : second.entries) superseded.insert(each.identity);
  for (const std::string& each : second.removed) superseded.insert(each);
  for (StoredEntry& each : first.entries) {
    if (superseded.count(each.identity) == 0) second.entries.push_back(std::move(each));
  }
  for (std::string& each : first.removed) {
    if (superseded.count(each) == 0) second.removed.push_back(std::move(each));
  }
  second.full = first.full;
  return second;
}

AsyncStore::AsyncStore(const std::string& path, Store::Durability durability,
                       std::function<void(const std::string&)> on_error)
    : on_error_(std::move(on_error)) {
  const auto open = [&] {
    store_ = std::make_unique<Store>(path, durability);
    loaded_ = store_->load();
  };
  try {
    open();
  } catch (const StoreError& error) {
    if (error.kind() != StoreError::Kind::kCorrupt) throw;
    store_.reset();
    if (!Store::set_aside(path)) throw;
    on_error_(std::string(error.what()) + "; set aside and replaced by an empty store");
    open();
  }
  for (const std::string& each : loaded_.errors) on_error_(path + ": " + each);
  thread_ = std::thread([this] { run_writer(); });
}

AsyncStore::~AsyncStore() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_writer_.notify_one();
  thread_.join();
}

void AsyncStore::write(Change change) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    pending_ = pending_ ? merge_changes(std::move(*pending_), std::move(change)) : std::move(change);
  }
  wake_writer_.notify_one();
}

void AsyncStore::run_writer() {
  std::string last_error;
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    wake_writer_.wait(lock, [this] { return pending_ || stopping_; });
    if (!pending_) return;
    const Change change = *std::exchange(pending_, std::nullopt);
    lock.unlock();
    try {
      store_->apply(change);
      last_error.clear();
    } catch (const std::exception& error) {
      // A full disk fails every write: the error is reported once, until a write succeeds.
      if (last_error != error.what()) on_error_(error.what());
      last_error = error.what();
    }
    lock.lock();
  }
}

}  // namespace mintrock::membership
