package io.hawthornlb.standin.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.RunningStandin;
import io.hawthornlb.standin.TestSettings;
import io.hawthornlb.standin.engine.EngineStandin;
import io.hawthornlb.standin.fault.FaultOrder;
import io.hawthornlb.standin.load.FakeEntry.Flaw;
import io.hawthornlb.standin.report.Count;
import io.hawthornlb.standin.report.FlowResult;
import io.hawthornlb.standin.report.RunResult;
import io.hawthornlb.standin.service.ServiceStandin;
import io.hawthornlb.standin.support.InvalidSettingsException;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LoadToolTest {

  private static final PrintStream SILENT = new PrintStream(OutputStream.nullOutputStream());

  @TempDir Path dir;

  private static Burst burst(int count) {
    return Burst.builder().count(count).overMillis(200).build();
  }

  private static ChatFlow.Builder chats(String name) {
    return ChatFlow.builder()
        .name(name)
        .workspace("coordinators")
        .service("brief-llm")
        .shape(ChatShape.builder().answerTokensMin(5).answerTokensMax(15).build())
        .bursts(List.of(burst(20)));
  }

  private static CallFlow.Builder calls(String name) {
    return CallFlow.builder()
        .name(name)
        .workspace("door")
        .service("checkin-app")
        .bursts(List.of(burst(20)));
  }

  private static JobFlow.Builder jobs(String name) {
    return JobFlow.builder()
        .name(name)
        .workspace("rosters")
        .service("brief-llm")
        .items(10)
        .pollMillis(10);
  }

  private static Scenario.Builder scenario(String... entries) {
    return Scenario.builder()
        .name("test")
        .entries(List.of(entries))
        .durationMillis(400)
        .drainMillis(8_000);
  }

  private static RunResult measure(Scenario.Builder scenario) {
    return LoadTool.measure(scenario.build(), SILENT);
  }

  @Test
  void chatsToAnEngineGetTheirOwnCompleteAnswers() {
    try (RunningStandin engine = EngineStandin.start(TestSettings.engine("e-1").build())) {
      RunResult result =
          measure(
              scenario(engine.address())
                  .chats(List.of(chats("streams").build(), chats("bulk").stream(false).build())));

      assertTrue(result.ok(), result.broken().toString());
      for (FlowResult flow : result.flows()) {
        assertEquals(20, flow.answered());
        assertEquals(20, flow.total().count());
      }
      FlowResult streams = result.flows().get(1);
      assertEquals("streams", streams.label().name());
      assertEquals(20, streams.firstToken().count());
      assertTrue(streams.tokenGap().count() >= 20 * 4);
    }
  }

  @Test
  void answeredCallsAreComparedWithTheRunsOfTheService() {
    try (RunningStandin service = ServiceStandin.start(TestSettings.service("s-1"))) {
      RunResult result =
          measure(
              scenario(service.address())
                  .services(List.of(service.address()))
                  .calls(List.of(calls("checkins").build())));

      assertTrue(result.ok(), result.broken().toString());
      assertEquals(20, result.calls().acknowledged());
    }
  }

  @Test
  void entriesThatRefuseConnectionsAreSkipped() throws IOException {
    FakeEntry unreachable = new FakeEntry();
    unreachable.close();
    try (FakeEntry entry = new FakeEntry()) {
      RunResult result =
          measure(
              scenario(unreachable.address(), entry.address()).chats(List.of(chats("c").build())));
      assertEquals(20, result.flows().get(0).answered());
    }
  }

  @Test
  void jobsAreFollowedToTheirResults() throws IOException {
    try (FakeEntry entry = new FakeEntry()) {
      RunResult result =
          measure(
              scenario(entry.address()).jobs(List.of(jobs("j").jobs(2).submissions(2).build())));

      assertTrue(result.ok(), result.broken().toString());
      assertEquals(2, result.jobs().size());
      assertEquals(10, result.jobs().get(0).completed());
    }
  }

  /**
   * Guards against a run that passes although one request crashes every engine. Each retry of the
   * request crashes another engine and is refused properly, so only the number of lost endpoints
   * and the causes of the retries show the failure.
   */
  @Test
  void lostEndpointsAndCausesOfRetriesAreCounted() throws IOException {
    FakeEntry unreachable = new FakeEntry();
    unreachable.close();
    ChatFlow withoutRetries = chats("c").bursts(List.of(Burst.builder().count(1).build())).build();
    ChatFlow withRetries =
        chats("r")
            .bursts(List.of(Burst.builder().count(1).build()))
            .resends(2)
            .resendMillis(1)
            .build();
    RunResult result =
        measure(
            scenario(unreachable.address())
                .endpoints(List.of(unreachable.address()))
                .chats(List.of(withoutRetries, withRetries)));

    assertEquals(List.of(unreachable.address()), result.endpointsLost());
    assertTrue(result.broken().contains("endpoints: 1 lost: [" + unreachable.address() + "]"));
    assertEquals(List.of(), result.flows().get(0).resent());
    assertEquals(List.of(new Count("unreachable", 2)), result.flows().get(1).resent());
  }

  @Test
  void cancelledJobsMustStop() throws IOException {
    JobFlow cancelled = jobs("endless").cancelAfterMillis(100).build();
    for (Flaw flaw : List.of(Flaw.NONE, Flaw.GOES_ON_AFTER_CANCEL)) {
      try (FakeEntry entry = new FakeEntry(flaw)) {
        RunResult result = measure(scenario(entry.address()).jobs(List.of(cancelled)));
        assertEquals("cancelled", result.jobs().get(0).status());
        assertEquals(
            flaw == Flaw.GOES_ON_AFTER_CANCEL,
            result.broken().contains("endless: went on after its cancellation"),
            result.broken().toString());
      }
    }
  }

  @Test
  void correctAnswersPassAllChecks() throws IOException {
    assertEquals(List.of(), failedChecksWith(Flaw.NONE));
  }

  /**
   * Guards against a run that passes because the load tool trusts the status codes, although a
   * caller gets an answer that is truncated, doubled or meant for another caller, or a call is lost
   * or runs twice.
   */
  @ParameterizedTest
  @CsvSource({
    "TRUNCATES_TEXT, streams: 20 answers truncated",
    "TRUNCATES_TEXT, wholes: 20 answers truncated",
    "TRUNCATES_TEXT, has a wrong answer: truncated",
    "CUTS_STREAM, streams: 20 answers cut",
    "DOUBLES_TOKEN, streams: 20 answers doubled",
    "DOUBLES_TOKEN, wholes: 20 answers doubled",
    "ANSWERS_ANOTHER, streams: 20 answers foreign",
    "ANSWERS_ANOTHER, wholes: 20 answers foreign",
    "GOES_ON_AFTER_END, streams: 20 answers goes-on-after-the-end",
    "RUNS_CALLS_TWICE, calls: 20 doubled",
    "LOSES_CALLS, calls: 20 lost",
    "REFUSES_AFTER_RUN, calls: 20 ran though refused",
    "LOSES_ITEM, jobs: 1 items without result",
    "DOUBLES_ITEM, jobs: second result of item-0",
    "FAILS_ITEM, jobs: item-0 failed",
    "NEW_JOB_EACH_TIME, jobs: the same key got a second job",
    "DISOWNS_JOB, jobs: an entry answered 404 to the accepted job"
  })
  void wrongAnswersAndRunsAreDetected(Flaw flaw, String finding) throws IOException {
    List<String> broken = failedChecksWith(flaw);
    assertTrue(broken.stream().anyMatch(b -> b.contains(finding)), flaw + ": " + broken);
  }

  private static List<String> failedChecksWith(Flaw flaw) throws IOException {
    try (FakeEntry entry = new FakeEntry(flaw)) {
      return measure(
              scenario(entry.address())
                  .services(List.of(entry.address()))
                  .chats(List.of(chats("streams").build(), chats("wholes").stream(false).build()))
                  .calls(List.of(calls("checkins").build()))
                  .jobs(List.of(jobs("jobs").submissions(2).build())))
          .broken();
    }
  }

  @Test
  void faultsAreSwitchedOnAndRefusalsAreCounted() {
    try (RunningStandin engine = EngineStandin.start(TestSettings.engine("e-1").build())) {
      FaultOrder down = FaultOrder.builder().kind("down").build();
      ChatFlow late =
          chats("c").bursts(List.of(Burst.builder().atMillis(600).count(5).build())).build();
      RunResult result =
          measure(
              scenario(engine.address())
                  .durationMillis(1_000)
                  .chats(List.of(late))
                  .actions(
                      List.of(Action.builder().address(engine.address()).fault(down).build())));

      FlowResult flow = result.flows().get(0);
      assertEquals(5, FlowResult.sum(flow.refused()));
      assertEquals("status-503", flow.refused().get(0).name());
      assertEquals("unsaid", flow.refusedRun().get(0).name());
    }
  }

  /** Guards against edits that rest on a former edit of the run and lose what it removed. */
  @Test
  void catalogueLosesServicesAndGetsThemBack() throws IOException {
    try (FakeEntry entry = new FakeEntry()) {
      measure(withEdits(entry, edit(entry, 0, "brief-llm")));
      assertFalse(entry.catalogue().contains("brief-llm"), entry.catalogue());
      assertTrue(entry.catalogue().contains("checkin-app"), entry.catalogue());
    }
    try (FakeEntry entry = new FakeEntry()) {
      measure(withEdits(entry, edit(entry, 0, "brief-llm"), edit(entry, 100)));
      assertTrue(entry.catalogue().contains("brief-llm"), entry.catalogue());
    }
  }

  private static Scenario.Builder withEdits(FakeEntry entry, Action... edits) {
    ChatFlow late =
        chats("c").bursts(List.of(Burst.builder().atMillis(900).count(1).build())).build();
    return scenario(entry.address())
        .durationMillis(1_000)
        .chats(List.of(late))
        .actions(List.of(edits));
  }

  private static Action edit(FakeEntry entry, long atMillis, String... without) {
    CatalogueEdit edit = CatalogueEdit.builder().key("k").without(List.of(without)).build();
    return Action.builder().atMillis(atMillis).address(entry.address()).catalogue(edit).build();
  }

  @Test
  void onlineLoadRunsFirstWithoutTheJobs() throws IOException {
    try (FakeEntry entry = new FakeEntry()) {
      RunResult result =
          measure(
              scenario(entry.address())
                  .compareWithoutJobs(true)
                  .chats(List.of(chats("c").build()))
                  .jobs(List.of(jobs("j").build())));
      assertEquals(1, result.jobs().size());
      assertEquals(0, result.withoutJobs().jobs().size());
      assertEquals(20, result.withoutJobs().flows().get(0).answered());
    }
  }

  @Test
  void writesResultPlotsAndReport() throws IOException {
    Path out = dir.resolve("out");
    try (FakeEntry entry = new FakeEntry()) {
      Path file = dir.resolve("scenario.yaml");
      Files.writeString(
          file,
          """
          name: steady <day>
          entries: ["%s"]
          durationMillis: 300
          chats:
            - {name: c, workspace: w, service: brief-llm, bursts: [{count: 3}]}
          """
              .formatted(entry.address()));
      assertTrue(LoadTool.run(file, out).ok());
    }
    JsonNode json = WireJson.mapper().readTree(out.resolve("result.json").toFile());
    assertEquals(3, json.path("flows").path(0).path("answered").asInt());
    assertTrue(Files.size(out.resolve("latency.png")) > 1_000);
    String html = Files.readString(out.resolve("report.html"));
    assertTrue(html.contains("steady &lt;day&gt;"));
    assertTrue(html.contains("data:image/png;base64,"));
    assertFalse(html.contains("src=\"http"));
  }

  @Test
  void addressesOtherThanLoopbackAreRejected() {
    for (String address : List.of("10.0.0.1:80", "example.org:80", "127.0.0.1.example:80")) {
      Scenario.Builder scenario = scenario(address).chats(List.of(chats("c").build()));
      assertThrows(InvalidScenarioException.class, () -> measure(scenario), address);
    }
  }

  @Test
  void tooManyRequestsAndUnknownKeysAreRejected() throws IOException {
    Scenario.Builder many =
        scenario("127.0.0.1:1").maxRequests(10).chats(List.of(chats("c").build()));
    assertThrows(InvalidScenarioException.class, () -> measure(many));

    Path file = Files.writeString(dir.resolve("s.yaml"), "name: x\nentrys: []\n");
    assertThrows(InvalidSettingsException.class, () -> LoadTool.run(file, dir));
  }
}
