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
  private static final Duration PATIENCE = Duration.ofSeconds(5);

  private final DecisionLoop loop = new DecisionLoop();
  private final OnlinePolicies policies = CapacityFixture.policies(2, 1);
  private final CoreOnlineDecisions decisions =
      new CoreOnlineDecisions(
          loop,
          policies,
          (endpoint, address) -> Mono.just(new CrashDetector.Result(false, false)),
          new QuarantiningEffects(AloneRunFailureTest::drop, policies.endpoints()),
          new SilentObserver(),
          CapacityFixture.dataCentre(0),
          100,
          () -> NOW);

  @AfterEach
  void stop() {
    loop.close();
  }

  // A coordinator's request hangs until its deadline after one of two engines was lost: it ran
  // there, so it is to run alone. The engine that is gone is still listed and tried again after a
  // second, the request goes there alone, finds no listener, and seems to run there ever after.
  @Test
  void aSuspectThatReachesNoEndpointRunsAtTheOtherOne() {
    OnlineRequest request = suspect("briefing");
    decisions.admit(request).block(PATIENCE);
    RoutedAttempt first = route(request);

    Duration pause = decisions.failed(first, EndpointFault.NOT_SENT).block(PATIENCE);
    assertTrue(pause != null);
    RoutedAttempt second = route(request);

    assertNotEquals(first.endpoint(), second.endpoint());
  }

  // All requests for one of two engines wait for two minutes: a suspect ran there alone, and its
  // caller left before the answer.
  @Test
  void anEndpointIsOpenAgainOnceTheCallerOfASuspectLeft() {
    OnlineRequest request = suspect("roster");
    decisions.admit(request).block(PATIENCE);
    RoutedAttempt alone = route(request);
    assertEquals(1, accepting());

    decisions.cancelled(alone);
    decisions.finished(request);
    awaitLoop();

    assertEquals(2, accepting());
  }

  // The same, for an engine that gives the suspect no answer in time: nothing crashed.
  @Test
  void anEndpointIsOpenAgainOnceASuspectTimedOut() {
    OnlineRequest request = suspect("notes");
    decisions.admit(request).block(PATIENCE);
    RoutedAttempt alone = route(request);

    decisions.failed(alone, EndpointFault.TIMED_OUT).block(PATIENCE);

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
    RoutedAttempt attempt = decisions.route(request).block(PATIENCE);
    assertTrue(attempt != null);
    return attempt;
  }

  private long accepting() {
    return policies.endpoints().of(CapacityFixture.SERVICE).stream()
        .filter(endpoint -> endpoint.accepts(NOW))
        .map(Endpoint::id)
        .count();
  }

  private void awaitLoop() {
    loop.<Boolean>ask(sink -> sink.success(true)).block(PATIENCE);
  }

  private static void drop(List<Effect> effects) {
    // No peers in this test.
  }

  private static final class SilentObserver implements RequestObserver {

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
