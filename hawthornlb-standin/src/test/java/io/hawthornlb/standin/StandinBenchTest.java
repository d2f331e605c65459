package io.hawthornlb.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hawthornlb.standin.engine.EngineMemory;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.engine.EngineTiming;
import io.hawthornlb.standin.load.Burst;
import io.hawthornlb.standin.load.CallFlow;
import io.hawthornlb.standin.load.ChatFlow;
import io.hawthornlb.standin.load.ChatShape;
import io.hawthornlb.standin.load.LoadTool;
import io.hawthornlb.standin.load.Scenario;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.service.ServiceSettings;
import io.hawthornlb.standin.service.ServiceStandin;
import java.io.OutputStream;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Measures the CPU time that the threads of the stand-ins consume. */
@Tag("bench")
class StandinBenchTest {

  private static final PrintStream SILENT = new PrintStream(OutputStream.nullOutputStream());
  private static final int STEP_MICROS = 20_000;
  private static final int TOKENS = 150;

  /** Returns the CPU time in nanoseconds of each live stand-in thread, by thread id. */
  private static Map<Long, Long> standinCpu() {
    ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    Map<Long, Long> nanos = new HashMap<>();
    for (ThreadInfo thread : threads.getThreadInfo(threads.getAllThreadIds())) {
      if (thread != null && isStandin(thread.getThreadName())) {
        long id = thread.getThreadId();
        nanos.put(id, Math.max(0, threads.getThreadCpuTime(id)));
      }
    }
    return nanos;
  }

  /** Returns the CPU seconds consumed since a snapshot, without threads that have ended. */
  private static double cpuSecondsSince(Map<Long, Long> before) {
    long nanos = 0;
    for (Map.Entry<Long, Long> thread : standinCpu().entrySet()) {
      nanos += thread.getValue() - before.getOrDefault(thread.getKey(), 0L);
    }
    return nanos / 1e9;
  }

  private static boolean isStandin(String thread) {
    return thread.startsWith("engine-") || thread.contains("EventLoopGroup");
  }

  private static RunResult measure(Scenario.Builder scenario) {
    return LoadTool.measure(scenario.build(), SILENT);
  }

  private static Scenario.Builder scenario(RunningStandin standin) {
    return Scenario.builder()
        .name("bench")
        .entries(List.of(standin.address()))
        .durationMillis(12_000)
        .maxRequests(1_000_000);
  }

  private static ChatFlow.Builder chats(int answerTokens) {
    return ChatFlow.builder()
        .name("bench")
        .workspace("bench")
        .service("brief-llm")
        .shape(
            ChatShape.builder()
                .answerTokensMin(answerTokens)
                .answerTokensMax(answerTokens)
                .build());
  }

  /** Starts an engine whose emulated work takes almost no time: steps of 1 ms at any load. */
  private static RunningStandin instantEngine() {
    return EngineStandin.start(
        TestSettings.engine("bench")
            .timing(
                EngineTiming.builder()
                    .stepMicros(1_000)
                    .sequenceMicros(0)
                    .kiloContextMicros(0)
                    .prefillTokenMicros(0)
                    .prefillChunkTokens(1_000_000)
                    .build())
            .memory(EngineMemory.builder().slots(4_000).kvTokens(10_000_000).build())
            .build());
  }

  private static Burst burst(int count, long overMillis) {
    return Burst.builder().atMillis(500).count(count).overMillis(overMillis).build();
  }

  @Test
  void wholeAnswersOfOneToken() {
    try (RunningStandin engine = instantEngine()) {
      run("warm-up", engine, chats(1).stream(false).bursts(List.of(burst(8_000, 4_000))));
      run(
          "whole answers, 3,000/s",
          engine,
          chats(1).stream(false).bursts(List.of(burst(30_000, 10_000))));
    }
  }

  @Test
  void plainCalls() {
    ServiceSettings settings =
        ServiceSettings.builder()
            .identity(TestSettings.identity("bench").build())
            .serviceMillis(0)
            .build();
    try (RunningStandin service = ServiceStandin.start(settings)) {
      for (String name : List.of("warm-up", "plain calls, 3,000/s")) {
        Map<Long, Long> before = standinCpu();
        RunResult result =
            measure(
                scenario(service)
                    .calls(
                        List.of(
                            CallFlow.builder()
                                .name("bench")
                                .workspace("bench")
                                .service("s")
                                .bursts(List.of(burst(30_000, 10_000)))
                                .build())));
        report(name, result, cpuSecondsSince(before));
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 400, 800, 1_600})
  void streamsAtOnce(int streams) {
    try (RunningStandin engine =
        EngineStandin.start(
            TestSettings.engine("bench")
                .timing(
                    EngineTiming.builder()
                        .stepMicros(STEP_MICROS)
                        .sequenceMicros(0)
                        .kiloContextMicros(0)
                        .prefillTokenMicros(0)
                        .prefillChunkTokens(1_000_000)
                        .build())
                .memory(EngineMemory.builder().slots(4_000).kvTokens(10_000_000).build())
                .build())) {
      ChatFlow.Builder flow = chats(TOKENS).bursts(List.of(burst(streams, 1_000)));
      run(streams + " streams (first)", engine, flow);
      run(streams + " streams", engine, flow);
    }
  }

  /** Compares the throughput of a saturated engine with the upper bound from its settings. */
  @Test
  void saturatedEngineAgainstItsBound() {
    int answer = 40;
    int items = 400;
    EngineTiming timing = EngineTiming.builder().build();
    EngineMemory memory = EngineMemory.builder().build();
    ChatShape shape =
        ChatShape.builder()
            .prefixTokens(200)
            .prefixes(1)
            .promptTokensMin(100)
            .promptTokensMax(100)
            .answerTokensMin(answer)
            .answerTokensMax(answer)
            .build();
    long context = memory.slots() * (300L + answer / 2);
    double stepSeconds = timing.stepNanos(0, memory.slots(), context) / 1e9;
    double itemSeconds =
        answer * stepSeconds / memory.slots() + 100 * timing.prefillTokenMicros() / 1e6;
    try (RunningStandin engine =
        EngineStandin.start(TestSettings.engine("bench").timing(timing).build())) {
      RunResult result =
          measure(
              scenario(engine)
                  .drainMillis(60_000)
                  .chats(
                      List.of(
                          chats(answer).shape(shape).stream(false)
                              .timeoutMillis(60_000)
                              .bursts(List.of(burst(items, 0)))
                              .build())));
      double seconds = result.flows().get(0).total().max() / 1_000;
      System.out.printf(
          Locale.ROOT,
          "BENCH saturated engine: %d items in %.2f s, %.2f items/s; bound %.2f items/s%n",
          items,
          seconds,
          items / seconds,
          1 / itemSeconds);
    }
  }

  private static void run(String name, RunningStandin standin, ChatFlow.Builder flow) {
    Map<Long, Long> before = standinCpu();
    RunResult result = measure(scenario(standin).chats(List.of(flow.build())));
    report(name, result, cpuSecondsSince(before));
  }

  private static void report(String name, RunResult result, double cpuSeconds) {
    FlowResult flow = result.flows().get(0);
    long tokens = flow.tokenGap().count() + flow.firstToken().count();
    System.out.printf(
        Locale.ROOT,
        "BENCH %s: answered %d of %d; stand-in cpu %.2f s, %.1f us a request, %.1f us a token;"
            + " total ms p50 %.2f p99 %.2f; gap ms p50 %.2f p99 %.2f p99.9 %.2f max %.2f%n",
        name,
        flow.answered(),
        flow.sent(),
        cpuSeconds,
        cpuSeconds * 1e6 / flow.answered(),
        tokens == 0 ? 0 : cpuSeconds * 1e6 / tokens,
        flow.total().p50(),
        flow.total().p99(),
        flow.tokenGap().p50(),
        flow.tokenGap().p99(),
        flow.tokenGap().p999(),
        flow.tokenGap().max());
    assertEquals(flow.sent(), flow.answered(), result.broken().toString());
  }
}
