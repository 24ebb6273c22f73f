#include "Http/ConnectionTable.h"

#include <array>
#include <optional>
#include <string_view>
#include <thread>

#include <sys/socket.h>
#include <unistd.h>

#include "Support/Table.h"

using namespace acaciaroad;
using http::ConnectionTable;
using std::chrono::milliseconds;

namespace {

struct IdleRow {
  const char *Name;
  /// Sent within the idle timeout.
  std::string_view Bytes;
  std::size_t Open;
};

const IdleRow IdleRows[] = {
    {"nothing came", "", 0},
    {"a request came in time", "GET / HTTP/1.1\r\n", 1},
};

} // namespace

// After a pause of the process one thread has a request to claim when another
// one finds that the connection's idle timeout is due.
ACACIA_TABLE_TEST(ConnectionTable, KeepsAConnectionWhoseIdleTimeoutIsDue,
                  IdleRows) {
  constexpr auto Idle = milliseconds(100);
  http::ConnectionTableOptions options;
  options.IdleTimeout = Idle;
  ConnectionTable table(options);
  std::array<int, 2> pair{};
  cr_assert_eq(::socketpair(AF_UNIX, SOCK_STREAM, 0, pair.data()), 0);
  table.adopt(pair[0]);
  std::optional<ConnectionTable::Id> id;
  if (!row.Bytes.empty()) {
    cr_assert_gt(::write(pair[1], row.Bytes.data(), row.Bytes.size()), 0);
    id = table.wait();
  }
  std::this_thread::sleep_for(2 * Idle);
  std::thread other([&] { (void)table.wait(); });
  std::this_thread::sleep_for(Idle);
  table.endWaits();
  other.join();
  cr_assert_eq(table.size(), row.Open, "%s: %zu", row.Name, table.size());
  cr_assert_eq(id && table.claim(*id) != nullptr, row.Open == 1, "%s",
               row.Name);
  ::close(pair[1]);
}
