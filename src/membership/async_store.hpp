// Runs the store on its own writer thread, so that the event loop never waits for the disk.
//
// Changes are written in the order in which they were passed. Changes that arrive faster than the disk
// accepts them are merged, so at most one is pending. Errors are reported once each through a callback, which
// runs on the writer thread.
#ifndef MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_
#define MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "membership/store.hpp"

namespace mintrock::membership {

// Combines two consecutive changes into one. Pure.
Change merge_changes(Change first, Change second);

class AsyncStore {
 public:
  // Throws StoreError if the store cannot be opened. A corrupt store is reported, set aside and replaced by
  // an empty one.
  AsyncStore(const std::string& path, Store::Durability durability,
             std::function<void(const std::string&)> on_error);
  // Writes the pending change first.
  ~AsyncStore();
  AsyncStore(const AsyncStore&) = delete;

  const StoredList& loaded() const { return loaded_; }  // the contents at start-up
  void write(Change change);                            // returns without waiting for the disk

 private:
  void run_writer();

  std::function<void(const std::string&)> on_error_;
  std::unique_ptr<Store> store_;
  StoredList loaded_;
  std::mutex mutex_;
  std::condition_variable wake_writer_;
  std::optional<Change> pending_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_ASYNC_STORE_HPP_
