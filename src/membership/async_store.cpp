#include "membership/async_store.hpp"

#include <algorithm>
#include <exception>
#include <set>
#include <utility>

namespace mintrock::membership {

Change merge_changes(Change first, Change then) {
  if (then.full) return then;
  std::set<std::string> named;
  for (const StoredEntry& each : then.entries) named.insert(each.identity);
  for (const std::string& each : then.removed) named.insert(each);
  for (StoredEntry& each : first.entries) {
    if (named.count(each.identity) == 0) then.entries.push_back(std::move(each));
  }
  for (std::string& each : first.removed) {
    if (named.count(each) == 0) then.removed.push_back(std::move(each));
  }
  then.full = first.full;
  return then;
}

AsyncStore::AsyncStore(const std::string& path, Store::Durability durability,
                       std::function<void(const std::string&)> fault)
    : fault_(std::move(fault)) {
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
    fault_(std::string(error.what()) + "; set aside, begun anew");
    open();
  }
  for (const std::string& each : loaded_.errors) fault_(path + ": " + each);
  thread_ = std::thread([this] { run_writer(); });
}

AsyncStore::~AsyncStore() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ending_ = true;
  }
  work_.notify_one();
  thread_.join();
}

void AsyncStore::write(Change change) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    waiting_ = waiting_ ? merge_changes(std::move(*waiting_), std::move(change)) : std::move(change);
  }
  work_.notify_one();
}

void AsyncStore::run_writer() {
  std::string last;
  std::unique_lock<std::mutex> lock(mutex_);
  for (;;) {
    work_.wait(lock, [this] { return waiting_ || ending_; });
    if (!waiting_) return;
    const Change change = *std::exchange(waiting_, std::nullopt);
    lock.unlock();
    try {
      store_->apply(change);
      last.clear();
    } catch (const std::exception& error) {
      // A disk that is full fails each time: told once, until a write goes well again.
      if (last != error.what()) fault_(error.what());
      last = error.what();
    }
    lock.lock();
  }
}

}  // namespace mintrock::membership
