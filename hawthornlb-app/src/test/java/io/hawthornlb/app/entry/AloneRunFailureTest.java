package io.hawthornlb.app.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.app.dispatch.RoutedAttempt;
import io.hawthornlb.core.catalogue.Limits;
import io.hawthornlb.core.catalogue.ServiceEntry;
import io.hawthornlb.core.catalogue.ServiceKind;
import io.hawthornlb.core.catalogue.WorkspaceEntry;
import io.hawthornlb.core.effect.Effect;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.net.endpoint.EndpointFault;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import reactor.core.publisher.Mono;

@Timeout(30)
class AloneRunFailureTest {

  private static final Instant NOW = CapacityFixture.START;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final DecisionLoop loop = new DecisionLoop();
  private final OnlinePolicies policies = CapacityFixture.policies(2, 1);
  private final CoreOnlineDecisions decisions =
      new CoreOnlineDecisions(
          loop,
          policies,
          (endpoint, address) -> Mono.just(new CrashDetector.Result(false, false)),
          new QuarantiningEffects(AloneRunFailureTest::drop, policies.endpoints()),
          new NoOpObserver(),
          CapacityFixture.dataCentre(0),
          100,
          () -> NOW);

  @AfterEach
  void stop() {
    loop.close();
  }

  // One of two engines crashes, and a request that ran there becomes a suspect that must run alone.
  // The crashed engine is still listed and is probed again after a second. The suspect is sent
  // there
  // alone and finds no listener. If the run alone is not ended then, the suspect seems to run there
  // forever, and the request hangs until its deadline.
  @Test
  void suspectThatReachesNoEndpointRunsAtTheOtherEndpoint() {
    OnlineRequest request = suspect("briefing");
    decisions.admit(request).block(TIMEOUT);
    RoutedAttempt first = route(request);

    Duration delay = decisions.failed(first, EndpointFault.NOT_SENT).block(TIMEOUT);
    assertTrue(delay != null);
    RoutedAttempt second = route(request);

    assertNotEquals(first.endpoint(), second.endpoint());
  }

  // A suspect runs alone at one of two engines, and its caller disconnects before the answer. If
  // the
  // quarantine is not ended then, all other requests for that engine wait for two minutes.
  @Test
  void endpointAcceptsAgainAfterCallerOfSuspectDisconnects() {
    OnlineRequest request = suspect("roster");
    decisions.admit(request).block(TIMEOUT);
    RoutedAttempt alone = route(request);
    assertEquals(1, accepting());

    decisions.cancelled(alone);
    decisions.finished(request);
    awaitPendingLoopTasks();

    assertEquals(2, accepting());
  }

  // The same failure, where the engine does not answer the suspect in time. Nothing has crashed.
  @Test
  void endpointAcceptsAgainAfterSuspectTimesOut() {
    OnlineRequest request = suspect("notes");
    decisions.admit(request).block(TIMEOUT);
    RoutedAttempt alone = route(request);

    decisions.failed(alone, EndpointFault.TIMED_OUT).block(TIMEOUT);

    assertTrue(
        policies.endpoints().find(alone.endpoint()).stream()
            .noneMatch(endpoint -> endpoint.quarantined(NOW)));
  }

  private OnlineRequest suspect(String body) {
    ServiceEntry service =
        ServiceEntry.builder(CapacityFixture.SERVICE, "roster team", ServiceKind.ENGINE).build();
    WorkspaceEntry workspace =
        new WorkspaceEntry(
            new WorkspaceId("weddings"), "coordinators", List.of(), Limits.DEFAULT, 1);
    Fingerprint fingerprint = Fingerprint.of("brief-llm", body.getBytes());
    policies.suspects().onCrash(CapacityFixture.endpoint(0), List.of(fingerprint), NOW);
    return new OnlineRequest(
        new RequestId(body),
        workspace,
        service,
        fingerprint,
        true,
        10,
        10,
        List.of(),
        NOW.plusSeconds(60));
  }

  private RoutedAttempt route(OnlineRequest request) {
    RoutedAttempt attempt = decisions.route(request).block(TIMEOUT);
    assertTrue(attempt != null);
    return attempt;
  }

  private long accepting() {
    return policies.endpoints().of(CapacityFixture.SERVICE).stream()
        .filter(endpoint -> endpoint.accepts(NOW))
        .map(Endpoint::id)
        .count();
  }

  private void awaitPendingLoopTasks() {
    loop.<Boolean>ask(sink -> sink.success(true)).block(TIMEOUT);
  }

  private static void drop(List<Effect> effects) {
    // This test has no peers.
  }

  private static final class NoOpObserver implements RequestObserver {

    @Override
    public void sent(OnlineRequest request, EndpointId endpoint) {}

    @Override
    public void firstAnswer(OnlineRequest request, Duration elapsed) {}

    @Override
    public void succeeded(OnlineRequest request, Duration elapsed) {}

    @Override
    public void refused(OnlineRequest request, Refusal refusal) {}

    @Override
    public void finished(OnlineRequest request) {}
  }
}
