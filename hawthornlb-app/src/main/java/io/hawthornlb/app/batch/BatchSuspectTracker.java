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

/**
 * Applies the table of suspects, which are requests that may crash endpoints, to batch items. Used
 * on the decision loop.
 */
final class BatchSuspectTracker {

  private final OnlinePolicies policies;
  private final CrashDetector crashes;
  private final EffectSink effects;
  private final DecisionLoop loop;
  private final InstantSource clock;

  BatchSuspectTracker(
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

  void aloneSucceeded(Fingerprint fingerprint, EndpointId endpoint) {
    effects.perform(policies.suspects().onAloneSucceeded(fingerprint, endpoint, clock.instant()));
  }

  /**
   * Ends the quarantine of an endpoint where a suspect ran alone and ended neither with success nor
   * with a crash.
   */
  void aloneEnded(Fingerprint fingerprint, EndpointId endpoint) {
    effects.perform(policies.suspects().onAloneEnded(fingerprint, endpoint, clock.instant()));
  }

  /**
   * Probes whether the endpoint behind a broken connection has crashed. A crash is counted for all
   * items that ran at the endpoint.
   */
  void connectionBroken(
      EndpointId endpoint, String address, @Nullable LoadedItem loaded, List<LoadedItem> others) {
    List<Fingerprint> fingerprints = new ArrayList<>();
    if (loaded != null) {
      fingerprints.add(loaded.fingerprint());
    }
    others.forEach(each -> fingerprints.add(each.fingerprint()));
    crashes
        .probe(endpoint, address)
        .subscribe(result -> loop.execute(() -> onProbed(endpoint, fingerprints, result)));
  }

  private void onProbed(
      EndpointId endpoint, List<Fingerprint> fingerprints, CrashDetector.Result result) {
    Instant now = clock.instant();
    Observation observation = result.crashed() ? Observation.CRASH : Observation.FAILURE;
    effects.perform(policies.endpoints().onObservation(endpoint, observation, now));
    if (result.crashed() && result.firstToSee()) {
      effects.perform(policies.suspects().onCrash(endpoint, fingerprints, now));
    }
    // Has no effect on suspects whose crash was counted above.
    fingerprints.forEach(fingerprint -> aloneEnded(fingerprint, endpoint));
  }
}
