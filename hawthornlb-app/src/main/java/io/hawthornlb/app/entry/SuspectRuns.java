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

/** Holds online requests to what is known of requests that crash endpoints; used on the loop. */
final class SuspectRuns {

  private final OnlinePolicies policies;
  private final EffectSink effects;
  private final InstantSource clock;

  SuspectRuns(OnlinePolicies policies, EffectSink effects, InstantSource clock) {
    this.policies = policies;
    this.effects = effects;
    this.clock = clock;
  }

  Verdict judge(ActiveRequest state, Instant now) {
    return policies.suspects().judge(state.request().fingerprint(), candidates(state, now), now);
  }

  /** Takes that a suspect starts alone at an endpoint. */
  void started(ActiveRequest state, EndpointId endpoint, Instant now) {
    effects.perform(
        policies.suspects().onAloneStarted(state.request().fingerprint(), endpoint, now));
  }

  /** Clears a request that ran alone and crashed nothing. */
  void succeeded(ActiveRequest state, EndpointId endpoint) {
    if (state.alone()) {
      effects.perform(
          policies
              .suspects()
              .onAloneSucceeded(state.request().fingerprint(), endpoint, clock.instant()));
    }
  }

  /**
   * Opens the endpoint that was kept for a suspect.
   *
   * <p>Failure: an engine that crashed is tried again before the list lacks it, a suspect is sent
   * there alone and finds no listener, or its caller leaves. It shows as requests that hang until
   * their deadline, since the suspect seems to run alone for two minutes. Guard: whichever way a
   * run alone ends, its endpoint is open again.
   */
  void left(ActiveRequest state, EndpointId endpoint) {
    if (state.alone()) {
      effects.perform(
          policies
              .suspects()
              .onAloneEnded(state.request().fingerprint(), endpoint, clock.instant()));
    }
  }

  /** Counts a crash for all requests that ran there. */
  void crashed(EndpointId endpoint, List<OnlineRequest> running, Instant now) {
    List<Fingerprint> fingerprints =
        running.stream().map(OnlineRequest::fingerprint).distinct().toList();
    effects.perform(policies.suspects().onCrash(endpoint, fingerprints, now));
  }

  /** Sends notices again that may have been lost, and forgets old suspects. */
  void tick(Instant now) {
    effects.perform(policies.suspects().onTick(now));
  }

  /**
   * Returns the endpoints that may run a suspect alone: those that take work and have not failed
   * this request, or else all that take work.
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
