package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.suspect.Fingerprint;
import io.hawthornlb.core.suspect.Verdict;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Applies the table of suspects, which are requests that may crash endpoints, to online requests.
 * Used on the decision loop.
 */
final class OnlineSuspectTracker {

  private final OnlinePolicies policies;
  private final EffectSink effects;
  private final InstantSource clock;

  OnlineSuspectTracker(OnlinePolicies policies, EffectSink effects, InstantSource clock) {
    this.policies = policies;
    this.effects = effects;
    this.clock = clock;
  }

  Verdict judge(ActiveRequest state, Instant now) {
    return policies.suspects().judge(state.request().fingerprint(), candidates(state, now), now);
  }

  /** Reports that a suspect has started alone at an endpoint. */
  void aloneStarted(ActiveRequest state, EndpointId endpoint, Instant now) {
    effects.perform(
        policies.suspects().onAloneStarted(state.request().fingerprint(), endpoint, now));
  }

  /** Clears a suspect that ran alone without crashing the endpoint. */
  void aloneSucceeded(ActiveRequest state, EndpointId endpoint) {
    if (state.alone()) {
      effects.perform(
          policies
              .suspects()
              .onAloneSucceeded(state.request().fingerprint(), endpoint, clock.instant()));
    }
  }

  /**
   * Ends the quarantine of the endpoint where a suspect ran alone, whatever the outcome of the run.
   *
   * <p>A run can also end because the endpoint has crashed but is still listed, so that the suspect
   * finds no listener there, or because the caller disconnects. Without this call the suspect would
   * seem to run alone for two minutes, and other requests would hang until their deadline.
   */
  void aloneEnded(ActiveRequest state, EndpointId endpoint) {
    if (state.alone()) {
      effects.perform(
          policies
              .suspects()
              .onAloneEnded(state.request().fingerprint(), endpoint, clock.instant()));
    }
  }

  /** Counts a crash of an endpoint for all requests that ran there. */
  void endpointCrashed(EndpointId endpoint, List<OnlineRequest> running, Instant now) {
    List<Fingerprint> fingerprints =
        running.stream().map(OnlineRequest::fingerprint).distinct().toList();
    effects.perform(policies.suspects().onCrash(endpoint, fingerprints, now));
  }

  /** Resends notices that may have been lost, and removes old suspects. */
  void tick(Instant now) {
    effects.perform(policies.suspects().onTick(now));
  }

  /**
   * Returns the endpoints that may run a suspect alone: the accepting endpoints at which this
   * request has not failed, or all accepting endpoints if there are none of these.
   */
  private Set<EndpointId> candidates(ActiveRequest state, Instant now) {
    Set<EndpointId> accepting =
        policies.endpoints().of(state.request().service().name()).stream()
            .filter(endpoint -> endpoint.accepts(now))
            .map(Endpoint::id)
            .collect(Collectors.toSet());
    Set<EndpointId> untried =
        accepting.stream()
            .filter(endpoint -> !state.failed().contains(endpoint))
            .collect(Collectors.toSet());
    return untried.isEmpty() ? accepting : untried;
  }
}
