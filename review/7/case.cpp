// An instance is restarted after weeks of ordinary work.
#include <fstream>

#include "aged_store.h"
#include "jobs/job_documents.h"

using namespace review;

namespace {

/// Memory of the machine, as on the sheet of Sinaltec's front machines.
constexpr int memory_mb = 260;
/// Jobs that a trainer submits in `days`, one each four seconds.
constexpr int days = 24;
constexpr int old_jobs = days * 24 * 3600 / 4;
constexpr int few_jobs = 1000;

double status_mb(pid_t pid, const std::string& name) {
  std::ifstream from(fmt::format("/proc/{}/status", pid));
  std::string line;
  while (std::getline(from, line)) {
    if (line.starts_with(name)) {
      return std::stod(line.substr(name.size() + 1)) / 1024;
    }
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  deployment it(argc, argv);
  aged_store store(*it.loop);
  it.store_address = store.address();
  store.put("op/config", to_text(configuration()));
  // What the program has left of each job that ended: the record under boragedoor/jobs/ID. Its
  // contents and results are under other prefixes and matter less; they are left out here.
  const int count = it.trouble ? old_jobs : few_jobs;
  const auto now = std::chrono::time_point_cast<duration>(std::chrono::system_clock::now());
  std::uint64_t id = 0x9c41d07be2a35f68;
  for (int n = 0; n < count; ++n) {
    id = id * 6364136223846793005ULL + 1442695040888963407ULL;
    const std::string job = fmt::format("{:016x}", id);
    store.put_old(jobs::record_key(job),
                  jobs::to_document(jobs::job_record{
                      .id = job,
                      .workspace = "north",
                      .total = 108,
                      .runner = fmt::format("front-sul-poa-1/{:016x}", id >> 8),
                      .ended = true,
                      .submitted = now - seconds(4) * (count - n) - seconds(120),
                      .model = "daka510000"}));
  }
  it.note("the store has the records of {} jobs, all ended over 120 s ago", count);
  it.wait([] { return true; }, seconds(1));
  const server_process first = it.start("front-1", "z1", memory_mb);
  const time_point end = it.loop->now() + seconds(80);
  double peak = 0;
  int turn = 0;
  while (it.loop->now() < end && store.listed() < static_cast<std::size_t>(count)) {
    it.pass(milliseconds(250));
    peak = status_mb(first.pid, "VmHWM:");
    if (++turn % 8 == 0) {
      it.note("the instance has listed {} records, peak {:.1f} MiB", store.listed(), peak);
    }
  }
  const bool listed_all = store.listed() >= static_cast<std::size_t>(count);
  it.pass(seconds(2));
  peak = status_mb(first.pid, "VmHWM:");
  it.note("peak {:.1f} MiB of {} MiB, now {:.1f} MiB", peak, memory_mb,
          status_mb(first.pid, "VmRSS:"));
  if (peak > memory_mb) {
    return it.finish(broken, fmt::format("a restarted instance took {:.1f} MiB for the records of {} "
                                         "ended jobs; the platform kills it above {} MiB",
                                         peak, count, memory_mb));
  }
  if (!listed_all) {
    return it.finish(could_not_run, "the instance has not read all records in time");
  }
  return it.finish(held, fmt::format("peak {:.1f} MiB", peak));
}
