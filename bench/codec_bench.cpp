// Codecs that every statement or every log entry passes through.
#include <benchmark/benchmark.h>

#include "consensus/log_entry.h"
#include "consensus/messages.h"
#include "consensus/record.h"
#include "declared/backend/contract_codec.h"
#include "declared/routing/session_token.h"

namespace cairnhollow {
namespace {

constexpr std::size_t kCommandBytes = 1024;

declared::backend::StatementCall statement_call() {
  declared::backend::StatementCall call;
  call.statement.kind = declared::backend::StatementKind::kWrite;
  call.statement.database = DatabaseName("study-records");
  call.statement.partition_key = "learner-4711";
  call.statement.text = R"({"op":"append","record":"learner-4711/answers","value":"card-17 correct"})";
  call.requirements.term = 7;
  call.requirements.deadline = TimePoint(std::chrono::seconds(5));
  call.requirements.request_id = RequestId{SessionName("5f2b9a52-6e0d-4d55-8f17-0f0a7a3f1c11"), 42};
  return call;
}

void encode_statement_call(benchmark::State& state) {
  const auto call = statement_call();
  for (auto _ : state) benchmark::DoNotOptimize(declared::backend::encode_call(call, TimePoint{}));
}
BENCHMARK(encode_statement_call);

void decode_statement_call(benchmark::State& state) {
  const std::string body = declared::backend::encode_call(statement_call(), TimePoint{});
  Reason reason;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        declared::backend::decode_call<declared::backend::StatementCall>(body, TimePoint{}, reason));
  }
}
BENCHMARK(decode_statement_call);

void decode_statement_answer(benchmark::State& state) {
  const declared::backend::ExecuteAnswer answer =
      declared::backend::Written{R"({"length":17})", Position{7, 4711}};
  const auto request = statement_call().requirements.request_id;
  const std::string body = declared::backend::encode_answer(answer, Reason{}, request);
  Reason reason;
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        declared::backend::decode_answer<declared::backend::ExecuteAnswer>(body, request, reason));
  }
}
BENCHMARK(decode_statement_answer);

declared::routing::SessionToken session_token() {
  declared::routing::SessionToken token;
  for (const char* group : {"records-a", "records-b", "records-c"}) {
    token.observe(GroupName(group), Position{7, 123456});
  }
  return token;
}

void encode_session_token(benchmark::State& state) {
  const auto token = session_token();
  for (auto _ : state) benchmark::DoNotOptimize(declared::routing::encode_session_token(token));
}
BENCHMARK(encode_session_token);

void decode_session_token(benchmark::State& state) {
  const std::string text = declared::routing::encode_session_token(session_token());
  Reason reason;
  for (auto _ : state) benchmark::DoNotOptimize(declared::routing::decode_session_token(text, reason));
}
BENCHMARK(decode_session_token);

consensus::LogEntry log_entry() {
  return {4711, 7, consensus::EntryKind::kCommand, std::string(kCommandBytes, 'c')};
}

/// One entry as it is appended to the log's file.
void encode_log_record(benchmark::State& state) {
  const auto entry = log_entry();
  for (auto _ : state) benchmark::DoNotOptimize(consensus::make_record(wire::encode(entry), 0));
}
BENCHMARK(encode_log_record);

/// An append request of 16 entries as a frame's content.
consensus::PeerRequest append_request() {
  consensus::AppendRequest append;
  append.entries.assign(16, log_entry());
  consensus::PeerRequest request;
  request.from = NodeName("control-1");
  request.body = append;
  return request;
}

void encode_append_request(benchmark::State& state) {
  const auto request = append_request();
  for (auto _ : state) benchmark::DoNotOptimize(wire::encode(request));
}
BENCHMARK(encode_append_request);

void decode_append_request(benchmark::State& state) {
  const std::string bytes = wire::encode(append_request());
  Reason reason;
  for (auto _ : state) benchmark::DoNotOptimize(wire::decode<consensus::PeerRequest>(bytes, reason));
}
BENCHMARK(decode_append_request);

}  // namespace
}  // namespace cairnhollow
