package io.hawthornlb.app.batch;

import io.hawthornlb.app.entry.CrashDetector;
import io.hawthornlb.app.entry.DecisionLoop;
import io.hawthornlb.app.entry.EffectSink;
import io.hawthornlb.app.entry.OnlinePolicies;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.core.suspect.Verdict;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Holds batch items to what is known of requests that crash endpoints; used on the loop. */
final class SuspectGate {

  private final OnlinePolicies policies;
  private final CrashDetector crashes;
  private final EffectSink effects;
  private final DecisionLoop loop;
  private final InstantSource clock;

  SuspectGate(
      OnlinePolicies policies,
      CrashDetector crashes,
      EffectSink effects,
      DecisionLoop loop,
      InstantSource clock) {
    this.policies = policies;
    this.crashes = crashes;
    this.effects = effects;
    this.loop = loop;
    this.clock = clock;
  }

  Verdict judge(Fingerprint fingerprint, EndpointId endpoint) {
    Instant now = clock.instant();
    Optional<ServiceName> service = policies.endpoints().find(endpoint).map(Endpoint::service);
    Set<EndpointId> accepting =
        service.map(name -> policies.endpoints().of(name)).orElse(List.of()).stream()
            .filter(each -> each.accepts(now))
            .map(Endpoint::id)
            .collect(Collectors.toSet());
    return policies.suspects().judge(fingerprint, accepting, now);
  }

  void startedAlone(Fingerprint fingerprint, EndpointId endpoint) {
    effects.perform(policies.suspects().onAloneStarted(fingerprint, endpoint, clock.instant()));
  }

  void succeeded(Fingerprint fingerprint, EndpointId endpoint) {
    effects.perform(policies.suspects().onAloneSucceeded(fingerprint, endpoint, clock.instant()));
  }

  /** Opens an endpoint again that a suspect has left, neither well nor by a crash. */
  void left(Fingerprint fingerprint, EndpointId endpoint) {
    effects.perform(policies.suspects().onAloneEnded(fingerprint, endpoint, clock.instant()));
  }

  /** Looks whether a broken connection was a crash, and counts it for all that ran there. */
  void broken(EndpointId endpoint, String address, @Nullable ItemWork work, List<ItemWork> beside) {
    List<Fingerprint> fingerprints = new ArrayList<>();
    if (work != null) {
      fingerprints.add(work.fingerprint());
    }
    beside.forEach(each -> fingerprints.add(each.fingerprint()));
    crashes
        .probe(endpoint, address)
        .subscribe(result -> loop.execute(() -> noted(endpoint, fingerprints, result)));
  }

  private void noted(
      EndpointId endpoint, List<Fingerprint> fingerprints, CrashDetector.Result result) {
    Instant now = clock.instant();
    Observation observation = result.crashed() ? Observation.CRASH : Observation.FAILURE;
    effects.perform(policies.endpoints().onObservation(endpoint, observation, now));
    if (result.crashed() && result.firstToSee()) {
      effects.perform(policies.suspects().onCrash(endpoint, fingerprints, now));
    }
    // Does nothing after a crash that was counted.
    fingerprints.forEach(fingerprint -> left(fingerprint, endpoint));
  }
}
