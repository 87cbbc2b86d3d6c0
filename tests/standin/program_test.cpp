#include "base/json.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace boragedoor::standin {

namespace {

/// The stand-in program with its output on a pipe.
class program {
public:
  explicit program(std::vector<std::string> arguments) {
    const char* folder = std::getenv("BORAGEDOOR_BIN_DIR");
    REQUIRE(folder != nullptr);
    arguments.insert(arguments.begin(), std::string(folder) + "/boragedoor-standin");
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& it : arguments) {
      pointers.push_back(it.data());
    }
    pointers.push_back(nullptr);
    std::array<int, 2> pipe_ends{};
    REQUIRE(::pipe(pipe_ends.data()) == 0);
    id_ = ::fork();
    if (id_ == 0) {
      ::dup2(pipe_ends[1], STDOUT_FILENO);
      ::close(pipe_ends[0]);
      ::close(pipe_ends[1]);
      ::execv(pointers[0], pointers.data());
      ::_exit(127);
    }
    ::close(pipe_ends[1]);
    output_ = ::fdopen(pipe_ends[0], "r");
  }

  ~program() {
    if (id_ > 0) {
      ::kill(id_, SIGKILL);
      exit_code();
    }
    std::fclose(output_);
  }
  program(const program&) = delete;
  program& operator=(const program&) = delete;
  program(program&&) = delete;
  program& operator=(program&&) = delete;

  /// The next line of output, or an empty one at its end.
  std::string line() {
    std::array<char, 4096> buf{};
    return std::fgets(buf.data(), static_cast<int>(buf.size()), output_) == nullptr ? ""
                                                                                    : buf.data();
  }

  void terminate() const { ::kill(id_, SIGTERM); }

  /// Waits for the end; -1 when a signal ended the program.
  int exit_code() {
    int status = 0;
    ::waitpid(id_, &status, 0);
    id_ = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }

private:
  pid_t id_ = 0;
  std::FILE* output_ = nullptr;
};

} // namespace

TEST_CASE("the stand-in program") {
  SECTION("says where each stand-in listens and ends cleanly on SIGTERM") {
    program all({"all", "--engines=2"});
    for (const std::string name :
         {"store", "usage", "instances", "weights", "engine", "engine", "service", "ordering"}) {
      const auto ready = parse_json(all.line());
      REQUIRE(ready);
      CHECK(string_field(ready.value(), "standin") == name);
      CHECK(string_field(ready.value(), "listen").value_or("").starts_with("127.0.0.1:"));
    }
    all.terminate();
    CHECK(all.exit_code() == 0);
  }

  SECTION("refuses wrong usage with code 2") {
    for (const std::vector<std::string>& arguments : {std::vector<std::string>{},
                                                      {"nothing"},
                                                      {"store", "--listen=here"},
                                                      {"trainer"},
                                                      {"engine", "--fencing=maybe"}}) {
      CHECK(program(arguments).exit_code() == 2);
    }
  }

  SECTION("reports with code 1 that a trainer got nothing, in a summary") {
    // Nothing listens on port 1.
    program trainer({"trainer", "--target=127.0.0.1:1", "--time_limit_s=1"});
    const auto summary = parse_json(trainer.line());
    REQUIRE(summary);
    CHECK(summary.value()["violations"].size() == 1);
    CHECK(trainer.exit_code() == 1);
  }
}

} // namespace boragedoor::standin
